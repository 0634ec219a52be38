# Library of shell functions for deployments of real processes on loopback:
# hosts, the fabric, the configuration service, callers, and the evaluation of
# the stand-ins' records. Sourced by demo and the scripts in tests/scripts.
#
# A script may set these before deployment_start.

DOMAINS=(north east south) # instance N is in domain N modulo their number
ENTRIES=2                  # number of entries
NUMBERING=4                # number of hosts of each service
EXPORT=0
SLOTS=2           # requests at a time of each upstream
COLD_SLOTS=1      # of these right after a start
COLD_SECONDS=3    # until an upstream is warm
SHORT_MS=5        # service times
BULK_MS=20
SETTLE_SECONDS=2  # for views to spread before the load
START_WAIT=20     # seconds within which a process must listen
STOP_WAIT=20      # seconds within which an entry must stop
FABRIC_OPTIONS=(--delay 1)
LOG_LINES=5       # shown of each log after a failure

declare -A pid_of address_of state_of id_of service_address domains_out config_of
entries=() numbering=() export=()
id_of=([numbering]=1 [export]=2)
declare -A token_key=([numbering]=000102030405060708090a0b0c0d0e0f
    [export]=101112131415161718191a1b1c1d1e1f)

# Makes the directory of the run. Each run has a loopback address of its own,
# so that a port that is used again can't have been taken by another run.
deployment_init() { # name, program of the stand-ins, program under test
	plain=$2
	standin=$2-standin
	product=$3
	host=127.$((64 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))
	dir=$(mktemp -d -t "plantainlug-$1.XXXXXX") || exit 1
	mkdir -p "$dir/config/service" "$dir/config/instances/entries" "$dir/records"
	trap end_all EXIT
	trap 'exit 130' INT TERM
}

end_all() { # at any exit: nothing that was started here stays
	local name
	for name in "${!pid_of[@]}"; do
		kill -KILL "${pid_of[$name]}" 2>/dev/null
	done
	for name in "${!pid_of[@]}"; do
		reap "$name"
	done
}

fail() { # text
	local log
	echo "event=failure text=\"$1\" logs=$dir"
	for log in "$dir"/*.out "$dir"/*.log; do
		[ -s "$log" ] || continue
		echo "--- ${log##*/}"
		tail -n "$LOG_LINES" "$log"
	done
	exit 1
}

now_us() { # time since 1970, as in the records
	echo "${EPOCHREALTIME/[.,]/}"
}

wait_until() { # seconds, what is awaited, command with arguments
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@"; do
		[ "$SECONDS" -le "$end" ] || fail "timeout: $what"
		sleep 0.1
	done
}

run() { # program, name, arguments: starts a process in the background
	local file=$1 name=$2 number=1
	shift 2
	if [ -e "$dir/$name.out" ]; then # an earlier process of this name
		while [ -e "$dir/$name.$number.out" ]; do
			number=$((number + 1))
		done
		mv "$dir/$name.out" "$dir/$name.$number.out"
		mv "$dir/$name.log" "$dir/$name.$number.log"
	fi
	"$file" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pid_of[$name]=$!
}

listening() { # name, event, place: prints an address the process reported
	local end=$((SECONDS + START_WAIT)) address
	while [ "$SECONDS" -le "$end" ]; do
		address=$(sed -n "s/^event=$2 address=//p" "$dir/$1.out" \
		    2>/dev/null | sed -n "$3p")
		[ -z "$address" ] || { echo "$address"; return 0; }
		kill -0 "${pid_of[$1]}" 2>/dev/null || return 1
		sleep 0.05
	done
	return 1
}

await_listening() { # names: their addresses are known afterwards
	local name
	for name; do
		address_of[$name]=$(listening "$name" listening 1) ||
		    fail "$name does not listen"
	done
}

ended() { # name: whether the process has ended
	! kill -0 "${pid_of[$1]}" 2>/dev/null
}

reap() { # name: waits for a process that has ended; its status is returned
	local status
	wait "${pid_of[$1]}" 2>/dev/null
	status=$?
	unset "pid_of[$1]"
	return "$status"
}

signal() { # signal, name
	kill "-$1" "${pid_of[$2]}" || fail "$2 does not run"
}

kill_now() { # name
	signal KILL "$1"
	reap "$1"
}

domain() { # number of the instance
	echo "${DOMAINS[$1 % ${#DOMAINS[@]}]}"
}

publish() { # key, names: writes an instance list in one step
	local key=$1 name separator=""
	shift
	{
		echo "["
		for name; do
			[ -n "${state_of[$name]-}" ] || continue
			printf '%s{"name": "%s", "address": "%s", ' \
			    "$separator" "$name" "${address_of[$name]}"
			printf '"domain": "%s", "state": "%s"}' \
			    "$(domain "${name##*-}")" "${state_of[$name]}"
			separator=$',\n'
		done
		printf '\n]\n'
	} >"$dir/list"
	mv "$dir/list" "$dir/config/instances/$key"
}

publish_entries() { # one list for each domain
	local number name names
	for ((number = 0; number < ${#DOMAINS[@]}; number++)); do
		names=()
		for name in "${entries[@]}"; do
			[ "$(domain "${name##*-}")" != "${DOMAINS[number]}" ] ||
			    names+=("$name")
		done
		publish "entries/${DOMAINS[number]}" "${names[@]}"
	done
}

publish_all() {
	publish_entries
	publish numbering "${numbering[@]}"
	publish export "${export[@]}"
}

# Each publication differs in a comment, so it has a version of its own.
document() { # service: writes its document in one step
	cat >"$dir/document" <<-JSON
	{
		// published at $(now_us)
		"schema": 1,
		"service": "$1",
		"service_id": ${id_of[$1]},
		"address": "${service_address[$1]}",
		"slots": $SLOTS,
		"connections": 2000,
		"queue": 64,
		"cold_start": { "seconds": $COLD_SECONDS, "slots": $COLD_SLOTS },
		"bulk_share": 0.5,
		"operations": [
			{ "procedure": 1, "name": "next", "idempotent": true,
			  "class": "short", "deadline_ms": 5000 },
			{ "procedure": 2, "name": "confirm", "idempotent": false,
			  "class": "short", "deadline_ms": 5000 },
			{ "procedure": 3, "name": "image", "idempotent": true,
			  "class": "bulk", "deadline_ms": 10000 }
		],
		"domains_out": [${domains_out[$1]-}],
		"token_keys": ["${token_key[$1]}"]
	}
	JSON
	mv "$dir/document" "$dir/config/service/$1"
}

entry_peers() { # prints the addresses of the entries that were started
	local name separator=""
	for name in "${entries[@]}"; do
		[ -n "${state_of[$name]-}" ] || continue
		printf '%s"%s"' "$separator" "${address_of[$name]}"
		separator=", "
	done
}

# A process named in config_of reads the configuration service at another
# address than the usual one.
settings() { # role, name, address to listen on, further keys
	cat >"$dir/$2.json" <<-JSON
	{
		"role": "$1",
		"name": "$2",
		"domain": "$(domain "${2##*-}")",
		"listen": "$3",
		"config_service": ["${config_of[$2]-$config}"],
		"peers": [$(entry_peers)],
		"log": { "level": "info" },
		$4
		"fabric": "$gateway"
	}
	JSON
}

start_fabric() {
	run "$standin" fabric fabric --service "$host:0" \
	    --service "$host:0" --listen "$host:0" \
	    --entries "$dir/config/instances/entries" --seed 1 \
	    "${FABRIC_OPTIONS[@]}"
	gateway=$(listening fabric listening 1) ||
	    fail "the fabric does not listen"
	service_address[numbering]=$(listening fabric service 1)
	service_address[export]=$(listening fabric service 2)
}

start_config() { # options
	run "$standin" config config --listen "${config-$host:0}" \
	    --dir "${config_dir-$dir/config}" "$@"
	config=$(listening config listening 1) ||
	    fail "the configuration service does not listen"
}

start_entry() { # name
	settings entry "$1" "$host:0" '"threads": 1,'
	run "$product" "$1" entry --config "$dir/$1.json"
	await_listening "$1"
	state_of[$1]=live
}

start_upstream() { # service, number: at its former address, if it had one
	local name=upstream-$1-$2
	run "$standin" "$name" upstream \
	    --listen "${address_of[$name]-$host:0}" \
	    --service-id "${id_of[$1]}" --slots "$SLOTS" \
	    --cold-slots "$COLD_SLOTS" --cold-ms "${COLD_SECONDS}000" \
	    --cold-factor 2 --short-ms "$SHORT_MS" --bulk-ms "$BULK_MS" \
	    --seed "$2" --record "$dir/records/$name"
	await_listening "$name"
}

# The caller waits for it with await_listening.
start_agent() { # service, number, address to listen on
	local name=agent-$1-$2
	settings agent "$name" "${3-$host:0}" "\"service\": \"$1\",
		\"service_id\": ${id_of[$1]},
		\"upstream\": \"${address_of[upstream-$1-$2]}\","
	run "$product" "$name" agent --config "$dir/$name.json"
	state_of[$name]=live
}

# Configuration service and fabric, entries, then hosts; the instance lists
# follow when the addresses are known.
deployment_start() {
	local i
	for ((i = 0; i < NUMBERING; i++)); do
		numbering+=("agent-numbering-$i")
	done
	for ((i = 0; i < EXPORT; i++)); do export+=("agent-export-$i"); done
	publish_all
	start_fabric
	document numbering
	[ "$EXPORT" -eq 0 ] || document export
	start_config
	for ((i = 0; i < ENTRIES; i++)); do
		entries+=("entry-$i")
		start_entry "entry-$i"
	done
	for ((i = 0; i < NUMBERING; i++)); do
		start_upstream numbering "$i"
		start_agent numbering "$i"
	done
	for ((i = 0; i < EXPORT; i++)); do
		start_upstream export "$i"
		start_agent export "$i"
	done
	await_listening "${numbering[@]}" "${export[@]}"
	publish_all
	sleep "$SETTLE_SECONDS"
}

callers=()
start_caller() { # name, service, further options
	local name=$1 service=$2
	shift 2
	callers+=("caller-$name")
	run "$standin" "caller-$name" caller --name "$name" \
	    --service "${service_address[$service]}" \
	    --service-id "${id_of[$service]}" \
	    --record "$dir/records/caller-$name" "$@"
}

await_callers() {
	local name
	for name in "${callers[@]}"; do
		[ -n "${pid_of[$name]-}" ] || continue
		reap "$name" || fail "$name failed"
	done
}

status_of() { # name, key: a line of the status of an entry or agent
	"$plain" status "${address_of[$1]}" 2>/dev/null |
	    sed -n "s|^$2=||p"
}

sum_of() { # name, keys: sum of lines of the status
	local name=$1
	shift
	"$plain" status "${address_of[$name]}" 2>/dev/null |
	    awk -F= -v keys="$*" '
	BEGIN { count = split(keys, list, " ") }
	{ value[$1] = $2 }
	END {
		for (i = 1; i <= count; i++) {
			if (!(list[i] in value))
				exit 1
			sum += value[list[i]]
		}
		print sum
	}' || fail "$name shows no status"
}

version_of() { # name, key: version that it holds
	status_of "$1" "version.$2"
}

newer_at() { # key, version, names: whether all hold a newer version
	local key=$1 version=$2 name held
	shift 2
	for name; do
		held=$(version_of "$name" "$key")
		[ "${held:-0}" -gt "$version" ] || return 1
	done
}

# Runs an awk program over the records of callers and upstreams, with the
# key=value pairs of a line in field[] and the name of the process in process.
# A caller's record has a line when a request is sent and one when it is
# settled; an upstream's has one for each arrival and each start of a request.
# Ids begin with the id of the service that the request was sent to.
evaluate() { # awk options, program
	awk "${@:1:$#-1}" "
	{
		for (key in field)
			delete field[key]
		for (i = 1; i <= NF; i++) {
			at = index(\$i, \"=\")
			value = substr(\$i, at + 1)
			if (value ~ /^[0-9]+\$/)
				value += 0
			field[substr(\$i, 1, at - 1)] = value
		}
		process = FILENAME
		sub(/.*\\//, \"\", process)
	}
	${*: -1}" "$dir"/records/*
}

starts() { # upstream, from, to: requests it started between the two times
	evaluate -v upstream="$1" -v from="$2" -v to="${3-0}" '
	field["event"] == "start" && process == upstream &&
	    field["time_us"] >= from && (!to || field["time_us"] < to) { n++ }
	END { print n + 0 }'
}

has_started() { # upstream, from
	[ "$(starts "$1" "$2")" -gt 0 ]
}

# Writes one line with counts over all records. A refusal is false when the
# request was started at any upstream.
tally() {
	evaluate '
	field["event"] == "sent" { sent++ }
	field["event"] == "settled" && !seen[field["request"]]++ {
		count[field["outcome"]]++
		if (field["outcome"] == "not_run")
			refused[field["request"]] = 1
	}
	field["event"] == "broken" { broken++ }
	field["event"] == "wrong_answer" { wrong++ }
	field["event"] == "start" {
		started[field["request"]] = 1
		if (field["procedure"] == 2 && starts[field["request"]]++)
			duplicates++
		split(field["request"], id, "-")
		if (id[1] != field["service"])
			foreign++
	}
	END {
		for (request in refused)
			untrue += request in started
		lost = sent - count["answered"] - count["not_run"] - \
		    count["unknown"]
		printf "event=summary sent=%d answered=%d not_run=%d " \
		    "unknown=%d lost=%d broken_flows=%d duplicate_runs=%d " \
		    "wrong_service=%d wrong_answers=%d false_refusals=%d\n",
		    sent, count["answered"], count["not_run"],
		    count["unknown"], lost, broken, duplicates, foreign,
		    wrong, untrue
	}' >"$dir/tally"
}

tallied() { # key
	sed -n "s/.* $1=\([0-9]*\).*/\1/p" "$dir/tally"
}

expect_zero() { # keys of the tally
	local key
	for key; do
		[ "$(tallied "$key")" = 0 ] ||
		    fail "$key is not 0: $(cat "$dir/tally")"
	done
}

expect_some() { # keys of the tally: the run shows nothing without them
	local key
	for key; do
		[ "$(tallied "$key")" -gt 0 ] ||
		    fail "$key is 0: $(cat "$dir/tally")"
	done
}

# Promises that no event may break, after the callers have ended.
expect_truth() {
	tally
	expect_some sent answered
	expect_zero lost duplicate_runs wrong_service wrong_answers \
	    false_refusals
}

# Ends a passed run. Entries stop gracefully, so that the sanitizer checks them
# for leaks; agents would wait for siblings.
deployment_end() {
	local name log
	for name in "${entries[@]}"; do
		[ -z "${pid_of[$name]-}" ] || signal TERM "$name"
	done
	for name in "${entries[@]}"; do
		[ -n "${pid_of[$name]-}" ] || continue
		wait_until "$STOP_WAIT" "$name stops" ended "$name"
		reap "$name" || fail "$name ended with status $?"
	done
	for log in "$dir"/*.log; do
		! grep -qE 'Sanitizer|runtime error' "$log" ||
		    fail "sanitizer report: $(grep -m 1 -E \
		    'Sanitizer|runtime error' "$log")"
	done
	end_all
	sed "s/^event=summary/event=passed test=${0##*/}/" "$dir/tally"
	rm -rf "$dir"
}
