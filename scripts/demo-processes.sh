#!/usr/bin/env bash
# Runs the whole request path with separate processes on loopback: log, VM list,
# six upstreams, four VMs and a caller. Ends the processes that it started by
# their ids, and exits with status 1 if a result differs from the expected one.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/demo-lib.sh

base=${DEMO_BASE_PORT:-11200}
log=127.0.0.1:$base
vms=127.0.0.1:$((base + 1))

operators() { echo "127.0.0.1:$((base + 20 + 3 * $1 + 2))"; }
callers() { echo "127.0.0.1:$((base + 20 + 3 * $1))"; }
peers() { echo "127.0.0.1:$((base + 20 + 3 * $1 + 1))"; }
upstream() { echo "127.0.0.1:$((base + 10 + $1))"; }

start log "$bin/lagoonkeel-standin" log --listen "$log"
start vms "$bin/lagoonkeel-standin" vms --listen "$vms"
for i in 1 2 3 4 5 6; do
	start "upstream-$i" "$bin/lagoonkeel-standin" upstream --listen "$(upstream "$i")" --name "target-$i"
	wait_for "upstream $i" curl -sf "http://$(upstream "$i")/_standin/runs"
done
wait_for "the VM list" curl -sf "http://$vms/vms"

list=""
vm_pids=()
for i in 1 2 3 4; do
	cat >"$dir/vm-$i.json" <<SETTINGS
{"id": "vm-$i", "dataCentre": "kandy", "region": "central-hills", "stopGraceMs": 500,
 "listen": {"callers": "$(callers "$i")", "peers": "$(peers "$i")", "operators": "$(operators "$i")"},
 "platform": {"log": "http://$log", "vms": "http://$vms"}}
SETTINGS
	"$bin/lagoonkeel" check settings "$dir/vm-$i.json" >/dev/null || fail "the settings of VM $i are not valid"
	start "vm-$i" "$bin/lagoonkeel" serve "$dir/vm-$i.json"
	vm_pids+=("$started")
	list="$list${list:+,}{\"id\":\"vm-$i\",\"role\":\"entry\",\"address\":\"$(peers "$i")\",\"dataCentre\":\"kandy\"}"
done
curl -sf -X PUT -d "[$list]" "http://$vms/vms" || fail "the VM list could not be published"

"$bin/lagoonkeel" key new >"$dir/key"
key=$(awk '/^key:/ {print $2}' "$dir/key")
digest=$(awk '/^digest:/ {print $2}' "$dir/key")
target() { echo "{\"name\":\"target-$1\",\"address\":\"$(upstream "$1")\",\"dataCentre\":\"kandy\"}"; }
cat >"$dir/manifest.json" <<MANIFEST
{"services": [
  {"name": "bookings", "class": "booking", "floor": 4, "targets": [$(target 1), $(target 2), $(target 3)]},
  {"name": "fieldbook", "class": "lookup", "floor": 4, "targets": [$(target 4), $(target 5), $(target 6)]}],
 "teams": [{"name": "guides", "rate": 500, "burst": 200, "keys": ["$digest"]}],
 "routes": [
  {"name": "book", "method": "POST", "prefix": "/bookings", "service": "bookings"},
  {"name": "species", "method": "GET", "prefix": "/species", "service": "fieldbook", "idempotent": true}]}
MANIFEST
"$bin/lagoonkeel" check manifest "$dir/manifest.json" >/dev/null || fail "the manifest is not valid"
"$bin/lagoonkeel" publish --log "http://$log" "$dir/manifest.json" || fail "the manifest could not be published"
for i in 1 2 3 4; do
	wait_for "VM $i" sh -c "curl -sf http://$(operators "$i")/ready && curl -sf http://$(operators "$i")/status | grep -q '\"version\":0'"
done
"$bin/lagoonkeel" status "$(operators 1)" "$(operators 2)" "$(operators 3)" "$(operators 4)" || fail "the status of the VMs could not be read"

entries="\"$(callers 1)\",\"$(callers 2)\",\"$(callers 3)\",\"$(callers 4)\""
load() { # method path key requests
	echo "{\"entries\":[$entries],\"method\":\"$1\",\"path\":\"$2\",\"key\":\"$3\",\"requests\":$4,\"workers\":8,\"rate\":200}" >"$dir/plan.json"
	"$bin/lagoonkeel-standin" caller "$dir/plan.json" >"$dir/report.json" || fail "the caller did not finish its requests"
}
expect() { # what status count
	grep -q "\"$2\": $3[,]*\$" "$dir/report.json" || fail "$1: $(cat "$dir/report.json")"
	echo "ok  $1: $3 answers with status $2"
}
load GET /species/amanita "$key" 200
expect "lookups" 200 200
load POST /bookings/seat "$key" 100
expect "bookings" 200 100
load GET /species/amanita lk_wrong 20
expect "a wrong key" 401 20

kill -TERM "${vm_pids[3]}"
wait "${vm_pids[3]}" || fail "VM 4 stopped with exit code $?"
echo "ok  VM 4 stopped with exit code 0"
entries="\"$(callers 1)\",\"$(callers 2)\",\"$(callers 3)\""
load POST /bookings/seat "$key" 100
expect "bookings without VM 4" 200 100
kill -KILL "${vm_pids[2]}"
entries="\"$(callers 1)\",\"$(callers 2)\""
sleep 3 # Longer than the duration of a lease.
load GET /species/amanita "$key" 100
expect "lookups after VM 3 was killed" 200 100
echo "demo passed"
