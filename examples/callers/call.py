#!/usr/bin/env python3
"""Streams a chat completion from the router that the fleet names.

Usage: call.py ROUTER KEY MODEL TEXT
for instance call.py 127.0.0.11:7070 hall-example-key small "draft the report"

The locate answer is kept for its time to live. A request is sent to the next
address only if the connection was refused or the answer says not_run.
"""

import json
import sys
import time
import urllib.error
import urllib.request


class Fleet:
    """Sends requests to the routers of a fleet with one team's key."""

    def __init__(self, router, key):
        self.router = router
        self.key = key
        self.addresses = []
        self.expires = 0.0

    def locate(self):
        """Returns the addresses of routers, the preferred one first."""
        if time.monotonic() < self.expires:
            return self.addresses
        url = f"http://{self.router}/locate?tickets=0"
        request = urllib.request.Request(url, headers={"Authorization": f"Bearer {self.key}"})
        with urllib.request.urlopen(request, timeout=5) as answer:
            located = json.load(answer)
        self.addresses = [item["address"] for item in located["addresses"]]
        self.expires = time.monotonic() + located["ttl_seconds"]
        return self.addresses

    def stream(self, model, text):
        """Yields the text deltas of one completion; raises if it is incomplete."""
        body = json.dumps({
            "model": model,
            "stream": True,
            "messages": [{"role": "user", "content": text}],
        }).encode()
        headers = {"Authorization": f"Bearer {self.key}", "Content-Type": "application/json"}
        for address in self.locate():
            request = urllib.request.Request(
                f"http://{address}/v1/chat/completions", data=body, headers=headers)
            try:
                with urllib.request.urlopen(request, timeout=60) as answer:
                    yield from parts(answer)
                    return
            except urllib.error.HTTPError as error:
                if error.headers.get("X-Run") != "not_run":
                    raise
            except urllib.error.URLError as error:
                if not isinstance(error.reason, ConnectionRefusedError):
                    raise
        raise RuntimeError("no address served the request")


def parts(answer):
    """Yields the text deltas of a stream; raises if it ends without [DONE]."""
    for line in answer:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):].strip()
        if data == b"[DONE]":
            return
        frame = json.loads(data)
        if "error" in frame:
            raise RuntimeError(f"{frame['error']['message']} (run: {frame['error']['run']})")
        for choice in frame["choices"]:
            yield choice["delta"].get("content") or ""
    raise RuntimeError("the stream broke off")


def main():
    """Prints one completion."""
    if len(sys.argv) != 5:
        sys.exit(__doc__)
    router, key, model, text = sys.argv[1:]
    for part in Fleet(router, key).stream(model, text):
        print(part, end="", flush=True)
    print()


if __name__ == "__main__":
    main()
