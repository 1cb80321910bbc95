#!/bin/sh
# Starts the stand-ins and two instances, applies the example document, searches
# and books with the command-line tool, searches with a plain HTTP client, and
# stops all processes that it started.
# Usage: sh examples/run.sh PYTHON
set -eu
python=$1
document=examples/kumagawa-small.yaml
mkdir -p build/run
pids=""
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait
}
trap stop EXIT INT TERM
start() {
    "$@" 2>>build/run/standins.log &
    pids="$pids $!"
}
run_cli() {
    echo "\$ clementinebank $*"
    "$python" -m clementinebank.cli "$@"
}
# Repeats a command until it succeeds; exits after 60 failures.
retry() {
    attempts=0
    until "$@" >/dev/null 2>&1; do
        attempts=$((attempts + 1))
        [ "$attempts" -lt 60 ] || { echo "still fails after $attempts attempts: $*" >&2; exit 1; }
        sleep 0.25
    done
}
start "$python" -m standins.kv --listen 127.0.0.1:12800
start "$python" -m standins.instance_list --listen 127.0.0.1:12801
start "$python" -m standins.leaf --document $document --service pickup-desk
start "$python" -m standins.leaf --document $document --service claim-counter
start "$python" -m clementinebank.server --settings examples/entry-1.yaml
start "$python" -m clementinebank.server --settings examples/entry-2.yaml

run_cli document check $document
retry "$python" -m clementinebank.cli document apply $document \
    --operators 127.0.0.1:12902
retry sh -c "'$python' -m clementinebank.cli search pickup-desk silk \
    --callers 127.0.0.1:12900 | grep -q complete"
retry sh -c "'$python' -m clementinebank.cli search pickup-desk silk \
    --callers 127.0.0.1:12910 | grep -q complete"
run_cli search pickup-desk silk --callers 127.0.0.1:12900 --limit 3
run_cli book claim-counter '{"rug": "R-17"}' --callers 127.0.0.1:12900
run_cli bookings list --operators 127.0.0.1:12912
echo "\$ plain HTTP client, second instance"
"$python" examples/plain_client.py 127.0.0.1:12910 pickup-desk wool
