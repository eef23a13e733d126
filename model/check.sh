#!/usr/bin/env bash
# Explores the models of the membership protocol exhaustively, and checks that
# each negative control has a counterexample. Requires spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"

# Limits of one search (megabytes, steps, seconds) and the number of searches
# that run at once.
readonly MEMORY_MB=1900 DEPTH=1000000 SECONDS_MAX=300 AT_ONCE=4

# Each line: expected verdict, model, switches. N: number of VMs, L: duration of
# a lease in ticks, CHANGES: number of records after the first epoch.
readonly VARIANTS="
safe epochs -DN=4 -DL=2 -DCHANGES=4
safe epochs -DN=4 -DL=2 -DCHANGES=3 -DFORCED
safe epochs -DN=4 -DL=3 -DCHANGES=2
safe bans -DL=2 -DCHANGES=1 -DONE_BAN -DRESIGNING
safe bans -DL=1 -DCHANGES=2 -DONE_BAN -DRESIGNING
safe bans -DL=1 -DCHANGES=0
broken epochs -DN=4 -DL=2 -DNO_WAIT
broken epochs -DN=4 -DL=2 -DFROM_ARRIVAL
broken epochs -DN=4 -DL=2 -DLOWER_EPOCH
broken epochs -DN=4 -DL=2 -DTWO_MEMBERS
broken epochs -DN=4 -DL=2 -DNO_PROOF
broken epochs -DN=3 -DL=2 -DUNCHECKED
broken epochs -DN=4 -DL=2 -DCARRY_FAR
broken epochs -DN=4 -DL=2 -DFORCED -DPLATFORM_WRONG
broken bans -DL=2 -DONE_BAN -DNO_WAIT
broken bans -DL=2 -DONE_BAN -DBAN_IGNORED
broken bans -DL=2 -DONE_BAN -DNO_BAN_WAIT
broken bans -DL=2 -DONE_BAN -DCARRY_TAINTED
broken bans -DL=2 -DONE_BAN -DRESIGNING -DRESIGN_LATE
"

# search DIRECTORY VERDICT MODEL SWITCHES... runs one search.
search() {
	local dir=$1 verdict=$2 model=$3
	shift 3
	mkdir -p "$dir"
	(
		cd "$dir"
		spin -a "$@" "../../$model.pml" >spin.out 2>&1
		gcc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=$MEMORY_MB -o pan pan.c
		timeout $SECONDS_MAX ./pan -m$DEPTH -w24 >pan.out 2>&1 || true
	)
	report "$dir/pan.out" "$verdict" "$model $*" >"$dir/verdict"
}

# number PATTERN FILE prints the first number that the pattern captures.
number() {
	sed -nE "s/$1/\1/p" "$2" | head -1
}

# report OUTPUT VERDICT NAME prints the verdict found and compares it with the
# expected one.
report() {
	local out=$1 verdict=$2 name=$3 found=unfinished
	if grep -q 'assertion violated (' "$out"; then
		found=broken
	elif grep -q 'errors: 0' "$out" && ! grep -Eqi 'not completed|too small|MEMLIM|out of memory' "$out"; then
		found=safe
	fi
	local result=ok
	test "$found" = "$verdict" || result=FAILED
	printf '%-6s %-58s %-10s states %-9s depth %-6s MB %s\n' "$result" "$name" "$found" \
		"$(number '^ *([0-9.e+]+) states, stored.*' "$out")" \
		"$(number '.*depth reached ([0-9]+).*' "$out")" \
		"$(number '^ *([0-9.]+).total actual memory usage.*' "$out")"
}

main() {
	local start=$SECONDS n=0 line
	rm -rf build
	while read -r line; do
		test -n "$line" || continue
		n=$((n + 1))
		while test "$(jobs -rp | wc -l)" -ge $AT_ONCE; do
			wait -n
		done
		# shellcheck disable=SC2086 # A line holds several words.
		search "build/$(printf %02d $n)" $line &
	done <<<"$VARIANTS"
	wait
	cat build/*/verdict
	echo "bounds: one range, $DEPTH steps, $MEMORY_MB MB and $SECONDS_MAX s a search, $AT_ONCE at once; $((SECONDS - start)) s in all"
	if grep -q FAILED build/*/verdict || test "$(cat build/*/verdict | wc -l)" -ne "$n"; then
		echo "a verdict differs from the expected one, or a search gave no verdict" >&2
		exit 1
	fi
}

main
