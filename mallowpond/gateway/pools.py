"""Pools of targets: the groups of a deployment, the addresses of a service."""

import json
import random
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.dispatch import (
    Attempt,
    AttemptOutcome,
    NotStarted,
    dispatch,
    dispatch_plainly,
)
from mallowpond.gateway.gate import Gate
from mallowpond.gateway.link import ControllerLink
from mallowpond.gateway.routes import RouteTable
from mallowpond.gateway.serving import Place, TargetPool
from mallowpond.state.balancer import Balancer
from mallowpond.state.declarations import Deployment, PlainService, Workspace
from mallowpond.state.limits import Refused
from mallowpond.transport.http_client import HttpClient

SUSPECT_REASONS = ("connect_failed", "engine_refused", "cut_before_head", "cut_body")


@dataclass(kw_only=True)
class Pools:
    """Build target pools and keep the gates and balancers behind them."""

    routes: RouteTable
    http: HttpClient
    link: ControllerLink
    clock: Clock
    rng: random.Random
    first_byte_seconds: float
    _gates: dict[str, Gate] = field(default_factory=dict)
    _balancers: dict[str, Balancer] = field(default_factory=dict)

    def on_routes(self) -> None:
        """Give places on new groups to those that wait."""
        for gate in self._gates.values():
            gate.serve_waiting()

    def models_document(self) -> bytes:
        """Return the declared models in the shape that model clients read."""
        models = [
            {"id": d.model, "object": "model", "created": 0, "owned_by": d.name}
            for d in self.routes.declaration.deployments
        ]
        return json.dumps({"object": "list", "data": models}).encode()

    def for_deployment(
        self,
        deployment: Deployment,
        workspace: Workspace,
        prefix: str,
        deadline: float,
    ) -> TargetPool:
        """Return the pool of a deployment's groups for one request."""
        balancer = self._balancer(deployment.name)
        gate = self._gate(deployment)

        async def enter(avoid: frozenset[str]) -> Place | Refused:
            group = await gate.enter(
                workspace=workspace.name,
                share=workspace.share,
                deadline=deadline,
                prefix=prefix,
                avoid=avoid,
            )
            return group if isinstance(group, Refused) else Place(target=group.group)

        async def send(place: Place, attempt: Attempt) -> AttemptOutcome:
            group = self.routes.groups.get(place.target)
            if group is None or not self.routes.is_serving(group, self.clock.now()):
                # The group lost its permit between the choice and the dispatch.
                return NotStarted(reason="group_gone")
            return await dispatch(
                http=self.http,
                group=group,
                attempt=attempt,
                first_byte_seconds=self._patience(deadline),
            )

        async def note_failure(place: Place, reason: str) -> None:
            group = self.routes.groups.get(place.target)
            if group is not None and reason in SUSPECT_REASONS:
                now = self.clock.now()
                self.routes.revoke(group.group, group.generation, now)
                await self.link.suspect(group.group, group.generation)

        def leave(place: Place, held: float, latency: float | None) -> None:
            gate.leave(place.target, held_seconds=held, latency=latency)

        def note_load(place: Place, load: int) -> None:
            balancer.report(place.target, in_flight=load, now=self.clock.now())

        return TargetPool(
            enter=enter,
            leave=leave,
            dispatch=send,
            note_load=note_load,
            note_failure=note_failure,
        )

    def for_service(
        self, service: PlainService, workspace: Workspace, deadline: float
    ) -> TargetPool:
        """Return the pool of a plain service's targets for one request."""
        balancer = self._balancer(f"service/{service.name}")

        async def enter(avoid: frozenset[str]) -> Place | Refused:
            targets = [t for t in service.targets if t not in avoid]
            chosen = balancer.choose(
                targets, now=self.clock.now(), limit=service.requests_per_target
            )
            if chosen is None:
                return Refused(reason="overloaded", retry_after=1.0)
            balancer.start(chosen)
            return Place(target=chosen)

        async def send(place: Place, attempt: Attempt) -> AttemptOutcome:
            return await dispatch_plainly(
                http=self.http,
                target=place.target,
                attempt=attempt,
                first_byte_seconds=self._patience(deadline),
            )

        async def note_failure(place: Place, reason: str) -> None:
            return

        def leave(place: Place, held: float, latency: float | None) -> None:
            balancer.finish(place.target, now=self.clock.now(), latency=latency)

        def note_load(place: Place, load: int) -> None:
            return

        return TargetPool(
            enter=enter,
            leave=leave,
            dispatch=send,
            note_load=note_load,
            note_failure=note_failure,
        )

    def _patience(self, deadline: float) -> float:
        """Return how long to wait for the head of an answer.

        A whole answer has its first byte when it is done, and one that is a little
        late is worth more to its caller than an unknown outcome, so the deadline only
        ever lengthens the wait. What cannot be done in time is refused at admission.
        """
        return max(self.first_byte_seconds, deadline - self.clock.now())

    def _balancer(self, name: str) -> Balancer:
        if name not in self._balancers:
            self._balancers[name] = Balancer(rng=self.rng)
        return self._balancers[name]

    def _gate(self, deployment: Deployment) -> Gate:
        gate = self._gates.get(deployment.name)
        if gate is None:
            name = deployment.name
            gate = Gate(
                balancer=self._balancer(name),
                clock=self.clock,
                serving=lambda: self.routes.serving(name, self.clock.now()),
                limit=deployment.requests_per_group,
                expected_seconds=deployment.expected_seconds,
            )
            self._gates[name] = gate
        gate.set_limit(deployment.requests_per_group)
        return gate
