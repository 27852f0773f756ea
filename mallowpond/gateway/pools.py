"""Target pools: the groups of a deployment or the addresses of a plain service."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.admission import AdmissionQueue
from mallowpond.gateway.dispatch import (
    Attempt,
    AttemptOutcome,
    NotStarted,
    ResponseTimeout,
    dispatch,
    dispatch_to_service,
)
from mallowpond.gateway.link import ControllerLink
from mallowpond.gateway.routes import RouteTable
from mallowpond.gateway.serving import Slot
from mallowpond.state.admission import Refused
from mallowpond.state.balancer import Balancer
from mallowpond.state.declarations import Deployment, PlainService, Workspace
from mallowpond.transport.http_client import HttpClient

# Failures that may mean that a group is broken.
SUSPECT_REASONS = ("connect_failed", "engine_refused", "cut_before_head", "cut_body")
SERVICE_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class GroupPool:
    """The groups of a deployment as targets of one request."""

    admission: AdmissionQueue
    balancer: Balancer
    routes: RouteTable
    http: HttpClient
    link: ControllerLink
    clock: Clock
    response_timeout: ResponseTimeout
    workspace: Workspace
    prefix: str

    async def acquire(self, avoid: frozenset[str]) -> Slot | Refused:
        """Acquire a slot on a group, waiting in the admission queue if needed."""
        group = await self.admission.acquire(
            workspace=self.workspace.name,
            share=self.workspace.share,
            deadline=self.response_timeout.deadline,
            prefix=self.prefix,
            avoid=avoid,
        )
        return group if isinstance(group, Refused) else Slot(target=group.group)

    def try_acquire(self, avoid: frozenset[str]) -> Slot | None:
        """Acquire a slot on a group if one is free and no request waits for one."""
        group = self.admission.try_acquire(prefix=self.prefix, avoid=avoid)
        return None if group is None else Slot(target=group.group)

    def release(self, slot: Slot, held_seconds: float, latency: float | None) -> None:
        """Release the slot."""
        self.admission.release(slot.target, held_seconds=held_seconds, latency=latency)

    async def dispatch(self, slot: Slot, attempt: Attempt) -> AttemptOutcome:
        """Send an attempt to the head of the group if its permit is still valid."""
        group = self.routes.groups.get(slot.target)
        if group is None or not self.routes.is_serving(group, self.clock.now()):
            # The permit ended between the acquisition of the slot and the dispatch.
            return NotStarted(reason="group_gone")
        return await dispatch(
            http=self.http,
            group=group,
            attempt=attempt,
            first_byte_seconds=self.response_timeout.seconds,
        )

    def record_load(self, slot: Slot, in_flight: int) -> None:
        """Record the load that the group reported with a response."""
        now = self.clock.now()
        self.balancer.record_reported_load(slot.target, in_flight=in_flight, now=now)

    async def record_failure(self, slot: Slot, reason: str) -> None:
        """Revoke the permit of a group that may be broken, and report the group."""
        group = self.routes.groups.get(slot.target)
        if group is None or reason not in SUSPECT_REASONS:
            return
        self.routes.revoke(group.group, group.generation, self.clock.now())
        await self.link.report_suspect(group.group, group.generation)

    def instance_id(self, slot: Slot) -> str:
        """Return the group and its generation as one identifier."""
        group = self.routes.groups.get(slot.target)
        return f"{slot.target}/{group.generation if group else 0}"


@dataclass(frozen=True, kw_only=True)
class ServicePool:
    """The addresses of a plain service as targets of one request."""

    service: PlainService
    balancer: Balancer
    http: HttpClient
    clock: Clock
    response_timeout: ResponseTimeout
    # Failures of each address; they stand in for the incarnation, as a restarted
    # process has the same address.
    failure_counts: Counter[str]

    async def acquire(self, avoid: frozenset[str]) -> Slot | Refused:
        """Acquire a slot on an address, without queueing."""
        slot = self.try_acquire(avoid)
        if slot is not None:
            return slot
        return Refused(reason="overloaded", retry_after=SERVICE_RETRY_AFTER_SECONDS)

    def try_acquire(self, avoid: frozenset[str]) -> Slot | None:
        """Acquire a slot on an address that is not in `avoid`, if one is free."""
        targets = [t for t in self.service.targets if t not in avoid]
        limit = self.service.requests_per_target
        chosen = self.balancer.choose(targets, now=self.clock.now(), limit=limit)
        if chosen is None:
            return None
        self.balancer.start(chosen)
        return Slot(target=chosen)

    def release(self, slot: Slot, held_seconds: float, latency: float | None) -> None:
        """Release the slot."""
        self.balancer.finish(slot.target, now=self.clock.now(), latency=latency)

    async def dispatch(self, slot: Slot, attempt: Attempt) -> AttemptOutcome:
        """Send an attempt to the address of the slot."""
        return await dispatch_to_service(
            http=self.http,
            target=slot.target,
            attempt=attempt,
            first_byte_seconds=self.response_timeout.seconds,
        )

    def record_load(self, slot: Slot, in_flight: int) -> None:
        """Do nothing, as plain services report no load."""

    async def record_failure(self, slot: Slot, reason: str) -> None:
        """Count a failure of the address; there is no permit to revoke."""
        self.failure_counts[slot.target] += 1

    def instance_id(self, slot: Slot) -> str:
        """Return an identifier of the address that changes with each failure."""
        return f"{slot.target}/{self.failure_counts[slot.target]}"


@dataclass(kw_only=True)
class Pools:
    """Builds target pools and keeps their admission queues and balancers."""

    routes: RouteTable
    http: HttpClient
    link: ControllerLink
    clock: Clock
    rng: random.Random
    first_byte_seconds: float
    _admissions: dict[str, AdmissionQueue] = field(default_factory=dict)
    _balancers: dict[str, Balancer] = field(default_factory=dict)
    _failure_counts: Counter[str] = field(default_factory=Counter)

    def on_routes(self) -> None:
        """Grant slots on new groups to waiting requests."""
        for admission in self._admissions.values():
            admission.admit_waiting()

    def models_document(self) -> bytes:
        """Return the declared models as JSON in the format of completion APIs."""
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
    ) -> GroupPool:
        """Return the pool of a deployment's groups for one request."""
        return GroupPool(
            admission=self._admission(deployment),
            balancer=self._balancer(deployment.name),
            routes=self.routes,
            http=self.http,
            link=self.link,
            clock=self.clock,
            response_timeout=self._response_timeout(deadline),
            workspace=workspace,
            prefix=prefix,
        )

    def for_service(self, service: PlainService, deadline: float) -> ServicePool:
        """Return the pool of a plain service's targets for one request."""
        return ServicePool(
            service=service,
            balancer=self._balancer(f"service/{service.name}"),
            http=self.http,
            clock=self.clock,
            response_timeout=self._response_timeout(deadline),
            failure_counts=self._failure_counts,
        )

    def _response_timeout(self, deadline: float) -> ResponseTimeout:
        return ResponseTimeout(
            clock=self.clock,
            deadline=deadline,
            first_byte_seconds=self.first_byte_seconds,
        )

    def _balancer(self, name: str) -> Balancer:
        if name not in self._balancers:
            self._balancers[name] = Balancer(rng=self.rng)
        return self._balancers[name]

    def _admission(self, deployment: Deployment) -> AdmissionQueue:
        admission = self._admissions.get(deployment.name)
        if admission is None:
            name = deployment.name
            admission = AdmissionQueue(
                balancer=self._balancer(name),
                clock=self.clock,
                serving=lambda: self.routes.serving(name, self.clock.now()),
                limit=deployment.requests_per_group,
                expected_seconds=deployment.expected_seconds,
            )
            self._admissions[name] = admission
        admission.set_group_limit(deployment.requests_per_group)
        return admission
