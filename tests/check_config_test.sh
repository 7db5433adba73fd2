#!/usr/bin/env bash
# Checks that check-config reports each of the five errors of a settings file with its line, that
# the daemon refuses to start with this file, and that every example file is valid.
set -u
build=$1
cd "$(dirname "$0")/.." || exit 2
file=$(mktemp)
trap 'rm -f "$file"' EXIT
cat >"$file" <<'INI'
[daemon]
role = agent
name = agent1
zone = a
shutdown_deadline_ms = soon
[fleet]
keys = fleet.keys
control_hosts = 1@127.0.0.1:7101, 2@nowhere
[admin]
listen = 127.0.0.1
[agent]
lisen = 127.0.0.1:7500
[upstream.u1]
service = batch
http = 127.0.0.1:8080
source_port = 99999
INI
report=$("$build/toucanusher" check-config "$file" 2>&1) && {
  echo "check-config accepted an invalid file"
  exit 1
}
echo "$report"
for line in 5 8 10 12 16; do
  grep -q "^$file:$line: " <<<"$report" || {
    echo "check-config did not report the error in line $line"
    exit 1
  }
done
grep -q 'did you mean listen?' <<<"$report" || exit 1
"$build/toucanusherd" --config "$file" 2>/dev/null && {
  echo "the daemon started with an invalid file"
  exit 1
}
for example in examples/*.ini; do
  "$build/toucanusher" check-config "$example" || exit 1
done
