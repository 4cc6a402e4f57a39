#!/bin/bash
# One of two caches spoils every 40th of its good answers: the array length is one less than the number of words that follow. Ends with 1
# if a client is served other bytes than the caches have for the object's part, with 0 if not, with 2 if the case could not run.
# TROUBLE=0: no answer is spoilt.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=$PWD/review/3
record=$case/record.txt
standin=$PWD/review/bin/standin
dir=$(mktemp -d) || exit 2
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
: >"$record" || exit 2
[ -x bin/stairvane ] && [ -x "$standin" ] || { echo "not built" >>"$record"; exit 2; }
spoil=40
[ "${TROUBLE:-1}" = 0 ] && spoil=0
mapfile -t port < <("$standin" ports 5)
[ "${#port[@]}" = 5 ] || exit 2
for i in 0 1 2; do
	"$standin" cache --listen "127.0.0.1:${port[$i]}" --least 2000 --most 20000 --spoil $((i == 0 ? spoil : 0)) --record "$record" &
	pids+=($!)
done
"$standin" bulletin --listen "127.0.0.1:${port[3]}" --no 1 &
pids+=($!)
host() { printf '{"host":"%s","dial":"127.0.0.1:%s","site":"%s","class":"%s","block":%s,"health":"in_service","share":%s,"born_ms":0}' "$@"; }
cat >"$dir/config.json" <<JSON
{"name":"n1","listen":"127.0.0.1:${port[4]}","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":512},
 "bulletin":"127.0.0.1:${port[3]}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
 "known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
  $(host s-00000001 "${port[0]}" edge-1 small-box 2 60),$(host s-00000002 "${port[1]}" edge-1 small-box 2 60),
  $(host s-0000000a "${port[2]}" north origin 0 60)]}}]},
 "settings":{"Areas":["north","south","edge-1","edge-2"],"Zone":"edge-1","Models":["small-box","parent","origin"],"Balancers":1,"SlotNo":0,
  "Stage":0,"Tiers":["depot-cache"],"Family":"edge","MembershipMode":"automatic","Weights":"nominal","WorthBy":"request","Quantum":2.0,
  "FamilyInfo":{"CountByZone":[0,0,1,0],"Direct":true,"GoodFor":[0.0,12000.0,0.0],"HubByZone":[0,1,1,0],"Joins":true,"LinkPrice":0.02,
   "MultiPart":[true,false,false],"NoticeTime":300.0,"OlderBy":[0.0,0.0,0.0],"OneFlowKbPerS":5500.0,"OriginLimitFactor":0.0,
   "ParentBreaksAt":2.0,"ParentKind":1,"ParentWarmsIn":20000.0,"PassOn":[false,false,true],"PipeKbPerS":[0.0,0.0,0.0,0.0],
   "PurgeDone":6000.0,"RootFall":3000.0,"Siblings":"off","SourceKind":2,"StaleEarns":[0.7,0.7,0.7],"Tells":"hit","UpperColdFrom":0.061},
  "Grades":[
   {"Name":"clips","Aim":600.0,"AimStretch":2.0,"Deadline":6000.0,"DedupWindow":5000.0,"Effect":"safe","Group":"all","LateWorth":0.15,"Worth":2.0},
   {"Name":"pictures","Aim":400.0,"AimStretch":2.0,"Deadline":2500.0,"DedupWindow":5000.0,"Effect":"safe","Group":"all","LateWorth":0.2,"Worth":1.0},
   {"Name":"stock-report","Aim":700.0,"Deadline":3000.0,"DedupWindow":3000.0,"Effect":"keyed","Group":"all","LateWorth":0.0,"Worth":3.0}],
  "Limits":{"Cancel":true,"ConnIdle":15000.0,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":400.0,"MaxAttempts":8,
   "MaxRetryAfter":2000.0,"MostHeld":20000,"Multiplex":32,"Peers":false,"Probes":false,"RetryAfter":true,"SecondCopies":false},
  "Report":{"How":"inline","Fields":["cpu_share","busy_reqs","x1","x0"]},
  "Rules":{"AskWithin":10000.0,"Cold":16000.0,"ColdFrom":0.17,"DrainGrace":500.0,"Fall":3000.0,"GraceToAnswer":8.0,"TipMultiple":4.0}}}
JSON
echo "run: $(sed -n 's/^run = //p' deploy/balancer.toml), with the configuration" >>"$record"
cat "$dir/config.json" >>"$record"
LB_CONFIG=$dir/config.json /bin/sh -c "exec bin/stairvane" 2>"$dir/director.log" &
pids+=($!)
director=$!
"$standin" ready --director "127.0.0.1:${port[4]}" || exit 2
"$standin" check --director "127.0.0.1:${port[4]}" --least 2000 --most 20000 --per-second 100 --length 15s --record "$record"
result=$?
kill -USR1 "$director" 2>/dev/null || { echo "the director has ended" >>"$record"; result=1; }
sleep 0.3
{ echo; echo "the director's log:"; tail -40 "$dir/director.log"; } >>"$record"
exit $result
