"""Judge the requests that wait: how long they may, and whether the most urgent are late."""
