#!/usr/bin/env bash
# Guards against a settings file of the platform that is read again, found invalid and yet takes effect, ends the
# instance or is reported without its line and field.
source "$(dirname "$0")/lib.sh"
settings=$FLEET_DIR/gateway.toml
# write_settings LIFETIME BOOTSTRAP: writes the settings file.
write_settings() {
    cat >"$settings" <<END
[self]
node_name = "gateway"
ip = "127.0.0.1"
zone = "east"
bootstrap = $2
[network.listen]
front = "127.0.0.1:$FLEET_PORT"
ready = "127.0.0.1:$((FLEET_PORT + 1))"
control = "127.0.0.1:$((FLEET_PORT + 2))"
directory = "127.0.0.1:$((FLEET_PORT + 3))"
[platform.platform]
addr = "127.0.0.1:$((FLEET_PORT + 4))"
[terms.bounds]
ttl_max_s = $1
END
}
# The bound is below the lifetime that the instance chooses itself, so that it is the one in the answer.
lifetime() { curl -s -m 5 "http://127.0.0.1:$((FLEET_PORT + 3))/-/resolve?zone=east" | jq .ttl_s; }
lifetime_is() { [[ $(lifetime) == "$1" ]]; }
# log_count TEXT: prints the number of log lines with the text.
log_count() { grep -c "$1" "$FLEET_DIR/gateway.log"; }
log_count_is() { [[ $(log_count "$2") == "$1" ]]; }

write_settings 0.9 true
"$DAEMON" serve --settings "$settings" >"$FLEET_DIR/gateway.log" 2>&1 &
echo $! >"$FLEET_DIR/gateway.pid"
wait_until "the instance answers with the lifetime of its settings" lifetime_is 0.9
rejected=0
for change in 's/= true/= "true"/' 's/= 0.9/= -1/' 's/= 0.9/= [0.9]/' 's/127.0.0.1"/300.0.0.1"/'; do
    write_settings 0.9 true
    sed -i "$change" "$settings"
    rejected=$((rejected + 1))
    kill -HUP "$(pid_of gateway)"
    wait_until "change $rejected is rejected" log_count_is "$rejected" reload-failed
    expect_equal 0.9 "$(lifetime)" "lifetime after the change $change"
done
for error in 'gateway.toml:5: self.bootstrap: the value must be true or false' \
    'gateway.toml:14: terms.bounds.ttl_max_s: the value must be a number from 0 to 10000000' \
    'gateway.toml:3: self.ip: the value must be an IPv4 address'; do
    log_has gateway "$error" || fail "the log does not contain: $error"
done
write_settings 0.5 true
kill -HUP "$(pid_of gateway)"
wait_until "a valid change takes effect" lifetime_is 0.5
is_running gateway || fail "the instance has ended"
