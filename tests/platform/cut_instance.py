"""Starts the daemon with connections that a test redirects.

The file named by `REDIRECTS_VARIABLE` maps addresses to those that are connected to instead. It is
read at each connection, so that a test can cut the paths of one process only.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

from turmericweir_platform.__main__ import main

REDIRECTS_VARIABLE = "TEST_REDIRECTS"
_connect = socket.socket.connect


def _redirected_connect(sock: socket.socket, address: Any) -> None:
    redirects = json.loads(Path(os.environ[REDIRECTS_VARIABLE]).read_text())
    redirected = redirects.get(f"{address[0]}:{address[1]}") if len(address) == 2 else None
    if redirected is not None:
        host, _, port = redirected.rpartition(":")
        address = (host, int(port))
    _connect(sock, address)


if __name__ == "__main__":
    socket.socket.connect = _redirected_connect  # type: ignore[assignment, method-assign]
    sys.exit(main())
