# Functions shared by the demos with separate processes; sourced by each demo.
# On exit, the processes that the demo started are ended by their ids.
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

finish() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap finish EXIT

fail() {
	echo "FAILED: $*" >&2
	tail -n 5 "$dir"/*.out >&2
	exit 1
}

start() { # name command...; sets started to the id of the process
	local name=$1
	shift
	"$@" >>"$dir/$name.out" 2>&1 &
	started=$!
	pids+=("$started")
}

wait_for() { # what command...
	local what=$1
	shift
	for _ in $(seq 200); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	fail "timed out waiting for $what"
}
