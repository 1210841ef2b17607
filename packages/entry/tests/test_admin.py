"""Tests of the admin API over a whole deployment."""

import hashlib
import re

import anyio
import httpx
import pytest
from loguru import logger

from kumquatway._demo import Deployment, Layout
from kumquatway.admin import admin_app
from kumquatway.admin._context import AdminContext
from kumquatway.admin._text import RESOLVE_TRIES, resolve
from kumquatway_core.platform import Committed
from kumquatway_core.revisions import InDoubt
from kumquatway_core.revisions._rows import HEAD_KEY, Head, Revision

KEY = "operator-key"
WAIT = 20  # seconds
SOURCE = f"""
name = "test"
[services.desk]
[accounts.guests]
keys = ["{hashlib.sha256(b"guest").hexdigest()}"]
"""

pytestmark = pytest.mark.anyio


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def deployment(anyio_backend):
    layout = Layout(
        entries=2,
        pipelines=(),
        services={"desk": 1},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        yield deployment
        deployment.stop()


@pytest.fixture
def entry(deployment):
    return deployment.entries[0]


@pytest.fixture
async def http(entry):
    headers = {"Authorization": f"Bearer {KEY}"}
    url = f"http://{entry.settings.admin_address}"
    async with httpx.AsyncClient(base_url=url, headers=headers, timeout=WAIT) as http:
        yield http


async def eventually(holds) -> None:
    with anyio.fail_after(WAIT):
        while not holds():
            await anyio.sleep(0.01)


async def put(http, source: str, tag: str | None, **headers) -> httpx.Response:
    if tag is not None:
        headers["If-Match"] = tag
    return await http.put("/admin/text", content=source, headers=headers)


class TestKeys:
    """Only operators reach the API; health needs no key."""

    async def test_each_path_but_the_open_ones_asks_for_a_key(self, entry):
        url = f"http://{entry.settings.admin_address}"
        async with httpx.AsyncClient(base_url=url) as http:
            for path in ("text", "audit", "status", "events"):
                response = await http.get(f"/admin/{path}")
                assert response.status_code == 401
                assert response.headers["WWW-Authenticate"] == "Bearer"
            assert (await http.post("/admin/drain/desk-0")).status_code == 401
            for path in ("healthz", "readyz", "metrics", "openapi.json"):
                assert (await http.get(f"/{path}")).status_code == 200


class TestText:
    """An edit names the revision that it was made from."""

    async def test_read_edit_and_race(self, http, deployment):
        read = await http.get("/admin/text")
        tag = read.headers["ETag"]
        number = int(tag.strip('"'))
        edited = read.text + "# one\n"
        made = await put(http, edited, tag)
        assert made.status_code == 200
        assert made.headers["ETag"] == f'"{number + 1}"'
        raced = await put(http, edited, tag)
        assert raced.status_code == 412
        view = raced.json()
        assert (view["expected"], view["found"]) == (number, number + 1)
        assert str(number) in view["detail"] and str(number + 1) in view["detail"]
        await eventually(
            lambda: all(
                entry.configuration.number() == number + 1
                for entry in deployment.entries
            )
        )

    async def test_any_revision(self, http, entry):
        number = entry.configuration.number()
        made = await put(http, SOURCE + f"# any {number}\n", "*")
        assert (made.status_code, made.json()["found"]) == (200, number + 1)
        listed = await put(http, SOURCE, f'"0", "{number + 1}"')
        assert (listed.status_code, listed.json()["found"]) == (200, number + 2)

    @pytest.mark.parametrize(
        ("tag", "status"),
        [
            (None, 428),
            ("", 428),
            ("1", 400),
            ('W/"1"', 400),
            ('"one"', 400),
            ('"-1"', 400),
            ('"' + "9" * 5000 + '"', 400),
            ('"999"', 412),
            ('"0"', 412),
        ],
    )
    async def test_other_tags(self, http, entry, tag, status):
        number = entry.configuration.number()
        response = await put(http, SOURCE, tag)
        assert response.status_code == status
        assert response.content
        assert entry.configuration.number() == number

    async def test_a_wrong_text_changes_nothing(self, http, entry):
        number = entry.configuration.number()
        wrong = await put(http, "name = 3\nother = 1\n", f'"{number}"')
        assert wrong.status_code == 422
        assert len(wrong.json()["problems"]) == 2
        broken = await put(http, b"name = '\xff'", f'"{number}"')
        assert broken.status_code == 400
        assert entry.configuration.number() == number

    async def test_a_store_that_is_down(self, http, deployment, entry):
        number = entry.configuration.number()
        deployment.table.gate.faults.down = True
        try:
            response = await put(http, SOURCE, f'"{number}"')
        finally:
            deployment.table.gate.faults.down = False
        assert response.status_code == 503
        assert response.headers["Retry-After"]
        assert response.json()["outcome"] == "not-stored"
        assert entry.configuration.number() == number

    @pytest.mark.parametrize("written", [True, False])
    async def test_a_lost_answer_is_resolved_later(
        self, http, deployment, entry, written
    ):
        number = entry.configuration.number()
        table = deployment.table
        apply = table.apply

        def lose(transaction, generation):
            if not any(put.table == HEAD_KEY.table for put in transaction.puts):
                return apply(transaction)
            table.gate.faults.lose_next = 1
            table.gate.faults.down = True
            return apply(transaction) if written else Committed(revisions=())

        table.apply = lose
        try:
            response = await put(http, SOURCE + "# lost\n", f'"{number}"')
        finally:
            table.apply = apply
            table.gate.faults.down = False
        assert response.status_code == 504
        assert response.json()["outcome"] == "in-doubt"
        await eventually(lambda: entry.configuration.number() == number + 1)

    async def test_a_doubt_is_not_given_up_while_the_store_is_down(self):
        head = Head(number=2, edit_id="p", author="a", time=0, digest="d")
        doubt = InDoubt(
            revision=Revision(head=head, text=""), base_revision=1, base_text=""
        )
        pauses = []

        class Down:
            """A store that never tells."""

            @property
            def revisions(self):
                return self

            async def resolve(self, doubt):
                return doubt

        async def pause(seconds):
            pauses.append(seconds)

        await resolve(Down(), doubt, pause)
        assert len(pauses) == RESOLVE_TRIES


class TestAudit:
    """The audit trail is read in pages."""

    async def test_pages(self, http, entry):
        author = "ann"
        for step in range(3):
            tag = f'"{entry.configuration.number()}"'
            made = await put(
                http, SOURCE + f"# page {step}\n", tag, **{"Kumquatway-Author": author}
            )
            assert made.status_code == 200
        found = []
        after = 0
        while True:
            path = f"/admin/audit?after={after}&limit=2"
            page = (await http.get(path)).json()
            if not page["records"]:
                break
            assert len(page["records"]) <= 2
            found += [record[0][0] for record in page["records"]]
            after = page["next"]
        assert found == list(range(1, entry.configuration.number() + 1))
        last = (await http.get(f"/admin/audit?after={after - 1}")).json()
        assert last["records"][0][0][2] == author

    @pytest.mark.parametrize("query", ["after=x", "after=-1", "limit=0", "limit=a"])
    async def test_wrong_numbers(self, http, query):
        assert (await http.get(f"/admin/audit?{query}")).status_code == 400


class TestFailure:
    """A handler that fails is answered for and logged."""

    async def test_a_handler_that_fails(self, http, entry, monkeypatch):
        lines = []
        handler = logger.add(lines.append, level="ERROR")
        monkeypatch.setattr(entry.members, "by_vm", None)
        try:
            response = await http.get("/admin/status")
        finally:
            logger.remove(handler)
            monkeypatch.undo()
        assert (response.status_code, response.text) == (500, "the entry failed")
        assert lines


class TestOpenAPI:
    """The description names each route, and nothing else."""

    async def test_each_route_is_described(self, http, entry):
        document = (await http.get("/openapi.json")).json()
        assert document["openapi"].startswith("3.1")
        described = {
            (path, method.upper())
            for path, item in document["paths"].items()
            for method in item
            if method != "parameters"
        }
        routes = admin_app(make_context(entry)).routes
        served = {
            (route.path, method)
            for route in routes
            for method in route.methods - {"HEAD"}
        }
        assert described == served

    async def test_each_operation_is_whole(self, http):
        document = (await http.get("/openapi.json")).json()
        names = []
        for path, item in document["paths"].items():
            for method, operation in item.items():
                if method == "parameters":
                    continue
                names.append(operation["operationId"])
                assert operation["summary"] and operation["responses"]
                for answer in operation["responses"].values():
                    assert answer["description"] and answer["content"]
                guarded = operation.get("security", document["security"]) != []
                assert guarded == path.startswith("/admin/")
                assert guarded == ("401" in operation["responses"])
            given = {found["name"] for found in item.get("parameters", ())}
            assert given == set(re.findall(r"{(\w+)}", path))
        assert len(names) == len(set(names))

    async def test_each_reference_leads_somewhere(self, http):
        response = await http.get("/openapi.json")
        schemas = response.json()["components"]["schemas"]
        used = set(re.findall(r'"#/components/schemas/([^"]+)"', response.text))
        assert used == set(schemas)


def make_context(entry) -> AdminContext:
    return AdminContext(
        keys=frozenset(),
        members=entry.members,
        configuration=entry.configuration,
        journal=entry.journal,
        registry=entry.metrics.registry,
        send=entry.mesh.send,
        refusal=entry.refusal,
    )
