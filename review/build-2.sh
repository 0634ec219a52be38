#!/bin/sh
# The scripts' stand-ins are Python programs beside them: nothing is to be built.
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
