"""A completion's path from caller to group through separate processes."""

import pytest

from mallowpond.programs.tests.cluster import Cluster


@pytest.mark.parametrize("killed", ["controller0", "controller1"])
def test_completion_goes_from_caller_to_group_and_back(tmp_path, killed):
    with Cluster(folder=tmp_path) as cluster:
        cluster.wait_ready()
        assert cluster.apply().json["version"] == 1

        whole = cluster.wait_serving()
        assert whole.json["choices"][0]["text"] == "ping.0 ping.1 ping.2 ping.3 "

        # The second gateway's controller may read the group's row a heartbeat later.
        cluster.wait_serving("gateway1")
        streamed = cluster.complete("star", "gateway1", stream=True)
        assert streamed.status == 200
        assert streamed.body.count(b"data: ") == 6
        assert streamed.body.endswith(b"data: [DONE]\n\n")

        cluster.kill(killed)
        again = cluster.complete("again", stream=True)
        assert again.status == 200
        cluster.wait_serving("gateway0")
        cluster.wait_serving("gateway1")
