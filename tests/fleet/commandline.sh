#!/usr/bin/env bash
# Guards against commands that fail with another exit code than documented, or without naming the cause.
source "$(dirname "$0")/lib.sh"
FLEET_INSTANCES=2
start_fleet
# expect_exit CODE TEXT ARGUMENT...: the command exits with CODE, and what it prints contains TEXT.
expect_exit() {
    local code=$1 text=$2 output status=0
    shift 2
    output=$("$DAEMON" "$@" 2>&1) || status=$?
    expect_equal "$code" "$status" "exit code of '$*' ($output)"
    [[ $output == *"$text"* ]] || fail "the output of '$*' does not contain '$text': $output"
}
valid_settings=$FLEET_DIR/instance0.toml
service_settings=$FLEET_DIR/values$SERVICE_PATH.toml
sed 's/^workers.*/workers = 0/' "$valid_settings" >"$FLEET_DIR/range.toml"
{ cat "$valid_settings" && echo 'surprise = 1'; } >"$FLEET_DIR/unknown.toml"
{ cat "$service_settings" && echo 'floor = 2.0'; } >"$FLEET_DIR/floor.toml"
# line_number PATTERN FILE: prints the number of the line that matches.
line_number() { grep -n "$1" "$2" | cut -d: -f1; }

expect_exit 2 "usage" # no command
expect_exit 2 "unknown command 'launch'" launch
expect_exit 2 "settings" run
expect_exit 2 "cannot read" run --settings "$FLEET_DIR/missing.toml"
expect_exit 2 "surprise" check --surprise
for option in run check print; do
    expect_exit 3 "workers" "$option" --settings "$FLEET_DIR/range.toml"
    expect_exit 3 "range.toml:$(line_number workers "$FLEET_DIR/range.toml")" \
        "$option" --settings "$FLEET_DIR/range.toml"
done
expect_exit 3 "surprise" check --settings "$FLEET_DIR/unknown.toml"
expect_exit 3 "floor" check --service "$FLEET_DIR/floor.toml"
expect_exit 1 "cannot listen on 127.0.0.1:" run --settings "$valid_settings"
expect_exit 1 "127.0.0.1:1" dump --admin 127.0.0.1:1
expect_exit 1 "404" addresses --at "$(fleet_callers 0)" --service nosuch
expect_exit 0 "valid" check --settings "$valid_settings"
expect_exit 3 "self.node_name" check --platform "$valid_settings"
expect_exit 0 "valid" check --service "$service_settings"
expect_exit 0 "slots = $FLEET_SLOTS" print --service "$service_settings"
expect_exit 0 "incarnation" dump --admin "$(fleet_admin 0)"
expect_exit 0 "lspar_" dump --admin "$(fleet_admin 0)" --metrics
expect_exit 0 "$(fleet_callers 1)" addresses --at "$(fleet_callers 0)" --service "$FLEET_SERVICE"
expect_exit 0 "." version
"$DAEMON" print --settings "$valid_settings" >"$FLEET_DIR/printed.toml"
expect_exit 0 "valid" check --settings "$FLEET_DIR/printed.toml"

# The operator's check names the path from its own parameter, not from text inside another one.
checked=$(curl -s -m 10 --data-binary "@$FLEET_DIR/floor.toml" \
    "http://$(fleet_admin 0)/check?note=path=wrong&path=$SERVICE_PATH&by=test")
[[ $checked == *"$SERVICE_PATH"* && $checked != *wrong* && $checked != *by=test* ]] \
    || fail "the check does not name the path $SERVICE_PATH: $checked"
