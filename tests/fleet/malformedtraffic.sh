#!/usr/bin/env bash
# Guards against malformed traffic that stops the process or its service, or that is not counted as refused.
source "$(dirname "$0")/lib.sh"
start_fleet
# random_bytes SEED COUNT: prints COUNT pseudo-random bytes.
random_bytes() {
    # shellcheck disable=SC2059
    printf "$(awk -v seed="$1" -v size="$2" 'BEGIN {srand(seed); while (size--) printf "\\x%02x", int(rand() * 256)}')"
}
# send PROTOCOL ENDPOINT: sends standard input and closes the connection. A listener that accepts no connection fails the
# test at its end. The process may close the connection while the data is still being written; that is no failure.
send() {
    if exec 4<>"/dev/$1/${2/://}"; then
        cat >&4 2>/dev/null
        exec 4>&-
    else
        echo "$1 $2" >>"$FLEET_DIR/unreachable"
    fi
}
# refused_datagrams COUNT: succeeds once instance 0 has counted this many refused datagrams.
refused_datagrams() { (($(metric_sum 0 lspar_gossip_refused_total) >= $1)); }

before=$(metric_sum 0 lspar_gossip_refused_total)
for i in {1..30}; do random_bytes "$i" $((i * 40)) | send udp "$(fleet_peers 0)"; done
wait_until "malformed datagrams are counted" refused_datagrams $((before + 30))
for i in {1..20}; do
    random_bytes "$i" $((i * 300)) | send tcp "$(fleet_peers 0)"
    random_bytes "$i" $((i * 100)) | send tcp "$(fleet_callers 0)"
    random_bytes "$i" $((i * 100)) | send tcp "$(fleet_admin 0)"
    printf 'GET / HTTP/9.9\r\nContent-Length: -1\r\n\r\n' | send tcp "$(fleet_callers 0)"
    printf 'POST /faults HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"outgoi' | send tcp "$(fleet_admin 0)"
done
wait_until "malformed frames are logged" log_has instance0 peer.bad-frame
for endpoint in "$(fleet_callers 0)" "$(fleet_admin 0)"; do
    exec 3<>"/dev/tcp/${endpoint/://}"
    printf '\x01\x02 garbage\r\n\r\n' >&3
    expect_equal "HTTP/1.1 400" "$(head -c 12 <&3)" "answer to a malformed request at $endpoint"
    exec 3>&-
done
expect_equal 400 "$(call 0 a -H 'Lspar-Deadline-Ms: soon' | cut -d' ' -f1)" "status for a malformed deadline"
expect_equal 400 "$(call 0 a -H 'Lspar-Idempotent: maybe' | cut -d' ' -f1)" "status for a malformed flag"
expect_equal 400 "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d '[' "http://$(fleet_admin 0)/faults")" \
    "status for malformed faults"
is_running instance0 || fail "the process ended"
expect_equal "200 answered " "$(call_idempotent 0 a)" "answer to a request after the malformed traffic"
dump_matches 0 '.process.state == "ready"' || fail "the instance is no longer ready"
[[ ! -e $FLEET_DIR/unreachable ]] || fail "not accepted: $(sort "$FLEET_DIR/unreachable" | uniq -c | xargs)"
stop_fleet
