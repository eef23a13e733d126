#!/usr/bin/env bash
# Explores the model of claims exhaustively, and checks that each negative
# control has a counterexample. Requires spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
for tool in spin gcc; do
	command -v "$tool" >/dev/null || { echo "claims model NOT CHECKED: $tool is not installed"; exit 3; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# explore NAME [SWITCH] prints whether one search found a counterexample.
explore() {
	local name=$1 switch=${2:-} dir=$work/$1
	mkdir "$dir"
	cp claims.pml "$dir"
	(
		cd "$dir"
		spin -a ${switch:+"$switch"} claims.pml >/dev/null
		gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c 2>/dev/null
		./pan -E -m100000 >out
	)
	grep -q "Search not completed" "$dir/out" && [ -z "$switch" ] && { echo "$name: search not completed"; return 1; }
	grep -q "assertion violated" "$dir/out" && echo counterexample || echo none
}

# states NAME prints the number of states that the search stored.
states() {
	sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$1/out"
}

verdict=$(explore base)
echo "claims: counterexample=$verdict states=$(states base)"
failed=0
[ "$verdict" = none ] || failed=1
for control in SEND_FIRST NO_READ NO_ASK NO_INTENT NO_READBACK NO_RECHECK; do
	verdict=$(explore "$control" "-D$control")
	echo "control $control: counterexample=$verdict"
	[ "$verdict" = counterexample ] || failed=1
done
exit "$failed"
