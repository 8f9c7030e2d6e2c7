# Runs the scenario of one case, for its run.sh.

# Ends the processes that the record names, if the scenario did not end them.
end_processes() {
    local process
    for process in $(sed -n 's/.* starts as process \([0-9]*\)$/\1/p' "$1"); do
        kill -KILL "$process" 2>/dev/null
    done
}

run_scenario() {
    local program=target/review/scenario-$1 record=review/$1/record.txt status
    if [ ! -x "$program" ]; then
        echo "run review/build.sh first" >&2
        exit 2
    fi
    timeout 118 "$program" "$PWD" "$PWD/$record" "${TROUBLE:-1}"
    status=$?
    if [ "$status" -gt 2 ]; then
        end_processes "$record"
        status=2
    fi
    exit "$status"
}
