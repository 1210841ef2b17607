"""Tests of the log."""

import logging

import msgspec
import pytest
from loguru import logger

from kumquatway_core.logs import configure, request_context
from kumquatway_core.settings import LogFormat, LogLevel


@pytest.fixture
def lines():
    written = []
    yield written
    logger.remove()
    logging.basicConfig(handlers=[], force=True)


def configure_log(lines, log_format, level=LogLevel.INFO):
    configure(log_format=log_format, level=level, process="entry-1", write=lines.append)


class TestLogs:
    """Log lines in both formats: their fields, request IDs and hidden keys."""

    def test_json_line_has_process_and_request(self, lines):
        configure_log(lines, LogFormat.JSON)
        with request_context("r-1"):
            logger.info("step {}", 3)
        logger.info("after")
        first, second = (msgspec.json.decode(line) for line in lines)
        assert first["process"] == "entry-1"
        assert first["request"] == "r-1"
        assert first["message"] == "step 3"
        assert "request" not in second

    def test_human_line_has_the_request(self, lines):
        configure_log(lines, LogFormat.HUMAN)
        with request_context("r-1"):
            logger.warning("slow")
        assert "Z warning entry-1 request=r-1 " in lines[0]
        assert lines[0].endswith("slow\n")

    def test_records_below_the_level_are_not_logged(self, lines):
        configure_log(lines, LogFormat.HUMAN, LogLevel.ERROR)
        logger.warning("slow")
        assert lines == []

    @pytest.mark.parametrize("log_format", LogFormat)
    @pytest.mark.parametrize(
        "text",
        [
            "Bearer {}",
            "{{'authorization': 'Bearer {}'}}",
            "api_key={}",
            "Authorization: {}",
        ],
    )
    def test_keys_are_hidden_in_messages_and_tracebacks(self, lines, log_format, text):
        configure_log(lines, log_format)
        key = "demo-key-host"
        logger.info(text.format(key).replace("{", "<"))
        try:
            raise ValueError(text.format(key))
        except ValueError:
            logger.exception("failed")
        assert "ValueError" in lines[1]
        assert "[hidden]" in lines[0] and "[hidden]" in lines[1]
        assert key not in "".join(lines)

    def test_records_of_the_standard_library_are_logged(self, lines):
        configure_log(lines, LogFormat.JSON)
        logging.getLogger("hypercorn.error").warning("closed %s", "{x}")
        line = msgspec.json.decode(lines[0])
        assert line["logger"] == "hypercorn.error"
        assert line["message"] == "closed {x}"
