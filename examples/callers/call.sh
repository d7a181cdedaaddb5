#!/usr/bin/env bash
# Redeems two tokens exactly once: gets an address and an idempotency key from a
# router, sends the call with that key, and repeats it with the same key while the
# outcome is unknown. Usage: call.sh ROUTER KEY, for instance call.sh 127.0.0.11:7070 hall-example-key
set -euo pipefail
router=$1
key=$2

field() {
	grep -o "\"$1\":\\[\\?\"[^\"]*\"" | head -n 1 | sed 's/.*"\([^"]*\)"$/\1/'
}

located=$(curl -fsS -H "Authorization: Bearer $key" "http://$router/locate?tickets=1")
address=$(printf '%s' "$located" | field address)
ticket=$(printf '%s' "$located" | field tickets)

for try in 1 2 3 4 5; do
	head=$(mktemp)
	body=$(curl -sS -D "$head" -X POST "http://$address/services/redeem/redeem" \
		-H "Authorization: Bearer $key" -H "Idempotency-Key: $ticket" -d '{"tokens": 2}') || true
	run=$(grep -i '^x-run:' "$head" | tr -d '\r' | cut -d' ' -f2)
	status=$(head -n 1 "$head" | cut -d' ' -f2)
	rm -f "$head"
	if [ "$status" = 200 ]; then
		printf '%s\n' "$body"
		exit 0
	fi
	printf 'try %s: status %s, run %s\n' "$try" "${status:-none}" "${run:-unknown}" >&2
	if [ "${run:-unknown}" = ran ]; then
		exit 1
	fi
	sleep 1
done
exit 1
