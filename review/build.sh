#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs without
# dependencies, so that there is nothing to compile: this checks that they can
# be read by the interpreter that will run them.
set -eu
cd "$(dirname "$0")"
for file in *.py [1-5]/*.py; do
	[ -e "$file" ] || continue
	python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
