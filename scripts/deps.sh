#!/bin/sh
# Installs the Debian packages for build and tests that are missing.
# usage: deps.sh [ci]    "ci" adds the tools for lint, fuzzing and documentation
set -eu
packages="gcc g++ make pkg-config liburcu-dev libtirpc-dev libmicrohttpd-dev
libneon27-gnutls-dev libtomlplusplus-dev libjansson-dev zlib1g-dev libxxhash-dev
libsodium-dev uthash-dev libev-dev
libhttp-parser-dev libgtest-dev curl"
[ "${1:-}" = ci ] && packages="$packages clang clang-format clang-tidy cppcheck
libclang-rt-14-dev doxygen"
missing=""
for package in $packages; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
