# Makes the authority and the key that the processes of one deployment use among themselves, unless they are there.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/platform-keys/link/host.key ]; then
    target/release/heathergrade keys new target/platform-keys link
fi
