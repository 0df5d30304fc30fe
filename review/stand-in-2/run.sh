# Plays the case CASE, and ends all processes that it started. Sourced by the `run.sh` of each case.
set -u
folder="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
cell="$root/target/review-2/cell"
if [ ! -x "$cell" ] || [ ! -x "$root/target/release/laurelstile-node" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
# A process group of its own, which the project's processes inherit.
set -m
"$cell" "$CASE" "$root" "$folder/record.txt" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
for _ in $(seq 1150); do
    kill -0 "$group" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$group" 2>/dev/null; then
    echo "not played in time" >&2
    exit 2
fi
wait "$group"
exit $?
