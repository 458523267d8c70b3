#!/usr/bin/env bash
# Starts three instances and six stand-in targets as processes on loopback, applies an
# example document and sends requests. Stops all processes when it exits; with -keep it
# leaves them running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=${1:-}
mkdir -p bin run
go build -o bin/ ./cmd/...
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT
rm -rf run/i1 run/i2 run/i3
for i in i1 i2 i3; do
  ./bin/hickoryridge serve -settings "examples/association/$i.json" >"run/$i.log" 2>&1 &
  pids+=($!)
done
controls=127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103
regions=(north south tobago)
for n in 1 2 3; do
  region=${regions[$((n - 1))]}
  ./bin/hickorystandin -kind engine -target "engine-$n" -service darkroom-advisor -region "$region" -domain "$region-a" \
    -controls "$controls" -speed 4 >"run/engine-$n.log" &
  pids+=($!)
  ./bin/hickorystandin -kind service -target "desk-$n" -service desk -region "$region" -domain "$region-a" \
    -controls "$controls" >"run/desk-$n.log" &
  pids+=($!)
done
for n in 1 2 3; do
  until curl -sf "http://127.0.0.1:810$n/v1/targets" | grep -q engine-3; do sleep 0.2; done
done
until ./bin/hickoryctl apply examples/association/desired.json; do sleep 0.2; done
for n in 1 2 3; do
  until curl -sf "http://127.0.0.1:800$n/readyz" >/dev/null; do sleep 0.2; done
done
echo "--- streamed chat request through instance i2"
curl -sN http://127.0.0.1:8002/v1/chat/completions -H 'X-Tenant: tobago' \
  -d '{"model":"advisor","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"Has roll 17 arrived?"}]}'
echo "--- the same payment through instances i1 and i3"
for n in 1 3; do
  curl -s "http://127.0.0.1:800$n/services/desk/payments" -H 'X-Tenant: tobago' -H 'Idempotency-Key: pay-17' -d '{"amount":250}'
done
./bin/hickoryctl status
if [ "$keep" = "-keep" ]; then
  echo "running until interrupted"
  wait
fi
