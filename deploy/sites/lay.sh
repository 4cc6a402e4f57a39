#!/bin/sh
# Lays what the bench wants beside a site's file (real.json, wire.json, unlock.txt) next to the variants of this folder.
# It takes them from the operators' kit; none of them is committed. Called from anywhere: deploy/sites/lay.sh [KIT]
set -eu
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/more/mass/other}
for f in real.json wire.json unlock.txt; do
	if [ ! -f "$kit/$f" ]; then
		echo "lay.sh: $kit/$f is not there: name the folder that holds it" >&2
		exit 1
	fi
	rm -f "$here/$f"
	cp "$kit/$f" "$here/$f"
done
