"""Tests of the whole path: caller, entry, stages and back."""

import hashlib
import json

import anyio
import httpx
import pytest

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway_fakes import answer

KEY = "test-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
LAYERS = 12

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


SOURCE = f"""
name = "test"

[models.bulletin]
layers = {LAYERS}

[services.desk]

[accounts.guests]
keys = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]

[accelerators.any]
memory_mib = 80000
layer_us = 0
token_us = 0
"""


def make_layout() -> Layout:
    return Layout(
        entries=1,
        pipelines=(Pipeline(model="bulletin", stages=3, replicas=2),),
        services={"desk": 2},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )


async def with_deployment(use) -> None:
    deployment = Deployment(source=SOURCE, layout=make_layout())
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        address = deployment.entries[0].settings.caller_address
        url = f"http://{address}"
        async with httpx.AsyncClient(base_url=url, headers=HEADERS, timeout=30) as http:
            await use(deployment, http)
        deployment.stop()


def expected(prompt: str, max_tokens: int) -> tuple[tuple[str, ...], str]:
    return answer(
        prompt=prompt.encode(), layers=LAYERS, model="bulletin", max_tokens=max_tokens
    )


class TestWholePath:
    """A request served end to end."""

    async def test_a_whole_answer_is_the_one_computed_alone(self):
        async def use(deployment, http):
            body = {"model": "bulletin", "prompt": "pass closed", "max_tokens": 20}
            response = await http.post("/v1/completions", json=body)
            assert response.status_code == 200, response.text
            texts, finish = expected("pass closed", 20)
            choice = response.json()["choices"][0]
            assert choice["text"] == "".join(texts)
            assert choice["finish_reason"] == finish
            assert response.headers["Kumquatway-Verdict"] == "ran"

        await with_deployment(use)

    async def test_a_streamed_answer_is_the_same(self):
        async def use(deployment, http):
            body = {
                "model": "bulletin",
                "prompt": "pass closed",
                "max_tokens": 20,
                "stream": True,
            }
            found = []
            async with http.stream("POST", "/v1/completions", json=body) as response:
                async for line in response.aiter_lines():
                    if line.startswith("data: {"):
                        found.append(json.loads(line[6:])["choices"][0]["text"])
            assert "".join(found) == "".join(expected("pass closed", 20)[0])

        await with_deployment(use)

    async def test_a_service_runs_a_call_once(self):
        async def use(deployment, http):
            response = await http.post("/services/desk/seats?table=4", content=b"two")
            assert response.status_code == 200, response.text
            runs = [s for d in deployment.services.values() for s in d.executions]
            assert [(run.method, run.path, run.body) for run in runs] == [
                ("POST", "/seats", "two")
            ]

        await with_deployment(use)
