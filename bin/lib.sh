# Functions shared by the scripts in bin: paths, and starting and stopping of processes.
# shellcheck shell=bash
set -euo pipefail
TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RUN_DIR=${TROUTPIER_RUN_DIR:-$TOP/.run/$$}
PIDS=()
SMALL_JVM="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -Xmx96m"
ROUTER_JVM=${TROUTPIER_JVM:--XX:+UseSerialGC -Xshare:auto -Xmx128m -Dio.netty.leakDetection.level=disabled}
ADMINISTRATOR=administrator
SECRET=a-secret-for-the-demonstration-only

class_path() { echo "$TOP/$1/target/classes:$TOP/$1/target/lib/*"; }

# Builds if there is no build or a source file is newer than the last build.
ensure_built() {
    local mark=$TOP/troutpier-cli/target/lib
    if [ ! -d "$mark" ] || [ ! -d "$TOP/troutpier-daemon/target/lib" ] || [ ! -d "$TOP/platform/target/lib" ] ||
        [ -n "$(find "$TOP"/troutpier-*/src/main "$TOP"/platform/src "$TOP"/*/pom.xml -newer "$mark" -print -quit)" ]; then
        echo "building ..." >&2
        (cd "$TOP" && mvn -B -q package -DskipTests >&2)
        touch "$mark"
    fi
}

# start NAME COMMAND... : starts a process in the background and redirects its output to a file
start() {
    local name=$1
    shift
    mkdir -p "$RUN_DIR"
    "$@" >>"$RUN_DIR/$name.log" 2>&1 &
    PIDS+=($!)
    disown $! 2>/dev/null || true
    echo $! >"$RUN_DIR/$name.pid"
}

standin() { # standin NAME KIND PORT ARGUMENTS...
    local name=$1 kind=$2 port=$3
    shift 3
    # shellcheck disable=SC2086
    start "$name" java $SMALL_JVM -cp "$(class_path troutpier-standins)" \
        org.troutpier.standins.StandinMain "$kind" --name "$name" --port "$port" "$@"
}

router() { # router NUMBER HALL BASE_PORT ADMISSION
    local number=$1 hall=$2 base=$3 admission=${4:-\{\}}
    mkdir -p "$RUN_DIR"
    cat >"$RUN_DIR/router-$number.yaml" <<YAML
instance: router-$number
hall: $hall
caller: {host: 127.0.0.1, port: $((base + 100 + number))}
operator: {host: 127.0.0.1, port: $((base + 200 + number))}
peer: {host: 127.0.0.1, port: $((base + 400 + number))}
peerSecret: $SECRET
administratorTokenHash: $(printf %s "$ADMINISTRATOR" | sha256sum | cut -d' ' -f1)
platform:
  table: http://127.0.0.1:$((base + 1))
  objectStore: http://127.0.0.1:$((base + 2))
  instanceList: http://127.0.0.1:$((base + 3))
admission: $admission
threads: ${TROUTPIER_THREADS:-2}
YAML
    # shellcheck disable=SC2086
    start "router-$number" java $ROUTER_JVM ${TROUTPIER_FATAL:+-Dtroutpier.invariants=fatal} \
        -cp "$(class_path troutpier-daemon)" org.troutpier.daemon.DaemonMain "$RUN_DIR/router-$number.yaml"
}

platform() { # platform BASE_PORT
    standin table table $(($1 + 1))
    standin objects objects $(($1 + 2))
    standin instances instances $(($1 + 3)) --lag-millis 300
}

# register ID PORT BASE_PORT : registers an instance and its health URL with the instance list
register() {
    curl -fsS -o /dev/null -X POST "http://127.0.0.1:$(($3 + 3))/instances" \
        -d "{\"id\":\"$1\",\"health\":\"http://127.0.0.1:$2/healthz\"}"
}

# await_http URL SECONDS : waits until a URL responds with success
await_http() {
    local end=$((SECONDS + $2))
    until curl -fsS -o /dev/null --max-time 2 "$1" 2>/dev/null; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "no answer from $1" >&2
            return 1
        fi
        sleep 0.1
    done
}

cli() { # cli TOKEN ROUTERS ARGUMENTS...
    local token=$1 routers=$2
    shift 2
    # shellcheck disable=SC2086
    TROUTPIER_TOKEN=$token TROUTPIER_ROUTER=$routers java $SMALL_JVM \
        -cp "$(class_path troutpier-cli)" org.troutpier.cli.CliMain "$@"
}

# Stops all processes that were started here, at exit and on Ctrl-C.
cleanup() {
    local pid
    trap - EXIT INT TERM
    for pid in "${PIDS[@]:-}"; do
        [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null || true
    [ -n "${KEEP_RUN_DIR:-}" ] || rm -rf "$RUN_DIR"
}
trap cleanup EXIT
trap 'exit 130' INT TERM
