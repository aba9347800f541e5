# Creates the certificate authority, and the key that all processes of one deployment use for connections to
# each other, unless the key exists.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/platform-keys/link/host.key ]; then
    target/release/heathergrade keys new target/platform-keys link
fi
