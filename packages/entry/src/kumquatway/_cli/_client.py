"""
Client.

Calls the admin API of an entry.
"""

from typing import TypeVar
from urllib.parse import quote

import httpx
import msgspec

from kumquatway.admin import EditView, StatusView
from kumquatway_core.decoding import decode
from kumquatway_core.events import Page, Record, decode_page
from kumquatway_core.exceptions import InvalidData, KumquatwayError, WireError

ADMIN_VARIABLE = "KUMQUATWAY_ADMIN"
ADMIN_KEY_VARIABLE = "KUMQUATWAY_ADMIN_KEY"
ADMIN_EVENTS = "/admin/events"
AGENT_EVENTS = "/events"
TIMEOUT = 10.0  # seconds
EDIT_STATUSES = (200, 412, 422, 503, 504)

View = TypeVar("View", StatusView, EditView)


class AdminFailure(KumquatwayError):
    """The admin listener could not be reached or refused the call."""


class AdminClient:
    """
    The admin API of one entry, or the open pages of an agent.

    :param url: base URL of its listener.
    :param key: the operator's bearer key, "" where none is asked for.
    :raises AdminFailure: if the URL or the key has a wrong form.
    """

    def __init__(self, *, url: str, key: str = ""):
        # An empty key would make a header that no client sends.
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        try:
            self.http = httpx.Client(
                base_url=url, headers=headers, timeout=TIMEOUT, trust_env=False
            )
        except (httpx.InvalidURL, UnicodeError) as error:
            raise AdminFailure(f"{url!r}, or the key: {error}") from error

    def status(self) -> StatusView:
        """
        Read the status.

        :return: the VMs as the entry sees them.
        :raises AdminFailure: if the call failed.
        """
        return _decode(self._get("/admin/status"), StatusView)

    def revision(self) -> int:
        """
        Read the revision in force.

        :return: its number, 0 before the first.
        :raises AdminFailure: if the call failed.
        """
        answer = self._call("GET", "/admin/text")
        number = answer.headers.get("ETag", "").strip('"')
        if not number.isdecimal():
            raise AdminFailure(f"{self.http.base_url}: no revision in the answer")
        return int(number)

    def replace(self, source: str, revision: int, author: str) -> EditView:
        """
        Replace the text.

        :param source: TOML.
        :param revision: that it was made from.
        :param author: for the audit trail.
        :return: what became of the edit.
        :raises AdminFailure: if the call failed.
        """
        headers = {"If-Match": f'"{revision}"'}
        if author:
            headers["Kumquatway-Author"] = author
        answer = self._call(
            "PUT",
            "/admin/text",
            allowed=EDIT_STATUSES,
            content=source.encode(),
            headers=headers,
        )
        return _decode(answer.content, EditView)

    def drain(self, vm: str, undo: bool) -> None:
        """
        Let a VM leave, or take that back.

        :param vm: its name.
        :raises AdminFailure: if the call failed.
        """
        method = "DELETE" if undo else "POST"
        self._call(method, f"/admin/drain/{quote(vm, safe='')}", allowed=(202,))

    def events(self, path: str, since: int) -> Page:
        """
        Read a page of events.

        :param path: of the events.
        :param since: the sequence to ask from.
        :return: the page.
        :raises AdminFailure: if the call failed.
        """
        data = self._get(f"{path}?since={since}")
        try:
            return decode_page(data)
        except WireError as error:
            raise AdminFailure(f"{self.http.base_url}: {error}") from error

    def close(self) -> None:
        """Close the connection."""
        self.http.close()

    def _get(self, path: str) -> bytes:
        return self._call("GET", path).content

    def _call(
        self, method: str, path: str, allowed: tuple[int, ...] = (200,), **options
    ) -> httpx.Response:
        try:
            answer = self.http.request(method, path, **options)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise AdminFailure(f"{self.http.base_url}: {error}") from error
        if answer.status_code not in allowed:
            raise AdminFailure(
                f"{method} {path} answered {answer.status_code}: {answer.text}"
            )
        return answer


def _decode(data: bytes, kind: type[View]) -> View:
    try:
        return decode(data, kind, codec=msgspec.json)
    except InvalidData as error:
        raise AdminFailure(f"not an answer of the admin API: {error}") from error


def read_journal(client: AdminClient, path: str) -> list[Record]:
    """
    Read all events of a process.

    :param client: of the process.
    :param path: of its events.
    :return: its records, oldest first.
    :raises AdminFailure: if a call failed.
    """
    records: list[Record] = []
    since = 0
    while True:
        page = client.events(path, since)
        if not page.records:
            return records
        records.extend(page.records)
        since = page.next
