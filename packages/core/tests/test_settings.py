"""Tests of the settings of the entry and the agent."""

import tomllib

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.settings import LogFormat, read_agent, read_entry

DIGEST = "ab" * 32
PLATFORM = """
[platform]
tables = ["http://127.0.0.1:9001"]
objects = ["http://127.0.0.1:9002"]
vms = "http://127.0.0.1:9003"
"""
ENTRY = f"""
name = "entry-1"
data_centre = "eupen"
mesh_address = "127.0.0.1:7000"
caller_address = "127.0.0.1:8000"
admin_address = "[::1]:8001"
admin_keys = ["{DIGEST}"]
{PLATFORM}
[log]
format = "json"
"""
AGENT = f"""
vm = "vm-1"
data_centre = "eupen"
mesh_address = "127.0.0.1:7000"
http_address = "127.0.0.1:7001"
accelerator = "a100"
{PLATFORM}
[engine]
url = "http://127.0.0.1:9100"
"""
BAD_VALUES = st.one_of(
    st.sampled_from(["-1", "nan", "inf", "[]", "{ a = 1 }", "1979-05-27", "1" * 400]),
    st.sampled_from(['"localhost:1"', '"http://"', "[[[1]]]", '["x"]', "[1, true]"]),
    st.text("AZ _/\u00e9", max_size=20).map(lambda text: f"'{text}!'"),
)


@pytest.fixture(scope="module")
def read_settings(tmp_path_factory):
    path = tmp_path_factory.mktemp("settings") / "settings.toml"

    def read(read_file, text):
        path.write_text(text, encoding="utf-8")
        return read_file(path)

    return read


class TestSettings:
    """Reading of settings files."""

    def test_reads_settings_of_an_entry(self, read_settings):
        entry = read_settings(read_entry, ENTRY)
        assert entry.admin_keys == (DIGEST,)
        assert entry.log.format is LogFormat.JSON
        assert entry.limits.json_depth == 64

    def test_reads_settings_of_an_agent(self, read_settings):
        agent = read_settings(read_agent, AGENT)
        assert agent.engine.url == "http://127.0.0.1:9100"
        assert agent.service is None

    def test_all_problems_are_reported_with_their_lines(self, read_settings):
        text = ENTRY.replace("eupen", "Eupen").replace("admin_a", "admin_")
        with pytest.raises(ConfigurationError) as raised:
            read_settings(read_entry, text)
        lines = str(raised.value).splitlines()
        assert len(lines) == 3
        assert ":6: admin_ddress: got an unknown key" in lines[0]
        assert "admin_address (did you mean it?)" in lines[0]
        assert ":3: data_centre: got 'Eupen', expected a name" in lines[1]
        assert "admin_address: got nothing, expected an IP number" in lines[2]

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ("8000", "7000", "an address other than that of mesh_address"),
            ('"entry-1"', '"entry-1', "expected valid TOML"),
            ("[log]", "[log]\n[log]", "expected valid TOML"),
            ("127.0.0.1:7000", "127.0.0.1", "mesh_address: got '127.0.0.1'"),
            ("http://127.0.0.1:9003", "ftp://127.0.0.1", "platform.vms: got"),
        ],
    )
    def test_invalid_setting_is_reported(self, read_settings, old, new, message):
        with pytest.raises(ConfigurationError, match="settings.toml") as raised:
            read_settings(read_entry, ENTRY.replace(old, new))
        assert message in str(raised.value)

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ("[engine]", "[service]\nname = 'desk'", ""),
            ("[engine]", "[engines]", "engine (did you mean it?)"),
            ('accelerator = "a100"', "", "accelerator: got nothing"),
        ],
    )
    def test_agent_has_either_an_engine_or_a_service(
        self, read_settings, old, new, message
    ):
        text = AGENT.replace(old, new)
        if not message:
            assert read_settings(read_agent, text).service.name == "desk"
            return
        with pytest.raises(ConfigurationError) as raised:
            read_settings(read_agent, text)
        assert message in str(raised.value)

    def test_missing_file_and_invalid_utf_8_are_refused(self, tmp_path):
        path = tmp_path / "settings.toml"
        with pytest.raises(ConfigurationError, match="settings.toml"):
            read_entry(path)
        path.write_bytes(b"\xff\xfe")
        with pytest.raises(ConfigurationError, match="UTF-8"):
            read_entry(path)

    @hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
    @given(key=st.sampled_from(sorted(tomllib.loads(ENTRY))), value=BAD_VALUES)
    def test_problem_of_generated_invalid_value_names_its_key(
        self, read_settings, key, value
    ):
        lines = [line for line in ENTRY.splitlines() if not line.startswith(key)]
        lines = [line for line in lines if not line.startswith(f"[{key}")]
        text = f"{key} = {value}\n" + "\n".join(lines)
        with pytest.raises(ConfigurationError) as raised:
            read_settings(read_entry, text)
        assert key in str(raised.value)

    @hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        text=st.text(max_size=200) | st.sampled_from(["[" * 5000, "a=" + "9" * 5000])
    )
    def test_random_file_raises_only_a_configuration_error(self, read_settings, text):
        with pytest.raises(ConfigurationError):
            read_settings(read_agent, text)
