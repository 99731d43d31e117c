# Starts and ends the processes of a demo or a bench; sourced from the root of the project.
# Sets: run, a directory for logs and settings that goes when the script ends; last_pid.

run=$(mktemp -d)
pids=()
java_flags="-Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
standins_jar=masticweir-standins/target/masticweir-standins.jar
daemon_jar=${MASTICWEIR_DAEMON_JAR:-masticweir-daemon/target/masticweir-daemon.jar}
bench_jar=masticweir-bench/target/masticweir-bench.jar

# Ends all that was started here, by process id; keeps the logs where MASTICWEIR_KEEP says.
finish() {
  if [ -n "${MASTICWEIR_KEEP:-}" ]; then cp -r "$run" "$MASTICWEIR_KEEP"; fi
  # First TERM, which a restarting starter passes on; then KILL, as routers would drain for long.
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  await_seconds 0.2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap finish EXIT

build_once() {
  if [ -z "${MASTICWEIR_BUILT:-}" ]; then
    mvn -B -q -DskipTests package
  fi
}

await_seconds() {
  read -rt "$1" <> <(:) || true
}

await_ready() { # log: waits for the ready line of the process last_pid
  for _ in $(seq 200); do
    grep -q '^ready' "$1" 2>/dev/null && return 0
    kill -0 "$last_pid" 2>/dev/null || break
    await_seconds 0.05
  done
  cat "$1.err" >&2
  return 1
}

start() { # name, heap, jar, arguments: starts a process and waits for its ready line
  local log=$run/$1 heap=$2 jar=$3
  shift 3
  : >"$log"
  java -Xmx"$heap" $java_flags -jar "$jar" "$@" >"$log" 2>"$log.err" &
  last_pid=$!
  pids+=("$last_pid")
  disown "$last_pid" # or the shell would report the engine that is killed
  await_ready "$log"
}

start_again() { # seconds, name, heap, jar, arguments: as start, and again some seconds after its death
  local after=$1 log=$run/$2 heap=$3 jar=$4
  shift 4
  (
    child=
    trap 'kill "$child" 2>/dev/null; exit 0' TERM
    while :; do
      java -Xmx"$heap" $java_flags -jar "$jar" "$@" >"$log" 2>"$log.err" &
      child=$!
      echo "$child" >"$log.pid"
      wait "$child" || true
      await_seconds "$after"
    done
  ) 2>/dev/null &
  last_pid=$!
  pids+=("$last_pid")
  await_ready "$log"
}

setting() { # file, section, key: prints the key's value in an INI file
  sed -n "/^\[$2\]/,/^\[/s/^$3 = //p" "$1"
}

held() { # document, model: prints model:version, and :adapter where the document names one
  local adapter
  adapter=$(setting "$1" "model.$2" adapter)
  echo "$2:$(setting "$1" "model.$2" version)${adapter:+:$adapter}"
}

group_of() { # model: prints the group of the example deployments whose engines hold it
  if [ "$1" = report ]; then echo report-counts; else echo "$1"; fi
}

start_engine() { # name, address, document, model, step in ms, starter: runs one engine stand-in
  local name=$1 address=$2 document=$3 model=$4 step=$5
  shift 5
  "$@" "$name" 64m $standins_jar engine --listen "$address" --id "$name" --step-ms "$step" \
    --models "$(held "$document" "$model")" \
    --vendor "$(setting "$document" "engines.$(group_of "$model")" vendor)" ${engine_flags:-}
}

publish() { # platform, document, instance flags
  local platform=$1 document=$2
  shift 2
  java -Xmx64m $java_flags -jar $bench_jar publish --platform "$platform" --config "$document" "$@"
}

start_router() { # id, domain, caller port, operator port, peer port, platform, extra INI file or ""
  cat >"$run/$1.ini" <<INI
[router]
id = $1
domain = $2
caller_address = 127.0.0.1:$3
operator_address = 127.0.0.1:$4
peer_address = 127.0.0.1:$5
io_threads = ${router_io_threads:-2}
[platform]
address = $6
INI
  if [ -n "$7" ]; then cat "$7" >>"$run/$1.ini"; fi
  start "$1" "${router_heap:-128m}" "$daemon_jar" --settings "$run/$1.ini"
}

bench() { # arguments: runs a command of the bench
  java -Xmx256m $java_flags -jar $bench_jar "$@"
}
