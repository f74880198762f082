"""Executes the commands of the replica on the disk and the network. Decides nothing."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, assert_never

from ..common.errors import StoreError
from ..common.logs import ComponentLogger
from ..common.messages import Message
from .commands import (
    Command,
    CompleteCall,
    EraseArea,
    FetchBody,
    PublishState,
    PushBody,
    ReportEvacuation,
    SendMessage,
    StoreArea,
)
from .events import AreaStored, BodyReceived, Event
from .messages import StoredBody
from .peer_client import PeerClient
from .state import ConfigurationId
from .store import Store

log = ComponentLogger("control-plane")


class CommandExecutor:
    """One thread writes to the disk, so that areas are stored in the order of the commands."""

    def __init__(
        self,
        store: Store | None,
        client: PeerClient,
        send: Callable[[Message, str], None],
        handle_event: Callable[[Event], None],
        publish: Callable[[], None],
    ) -> None:
        """`store`: None on a machine without a disk; `send(message, ip)`; `handle_event`: takes the events that results
        are; `publish`: the replica has published a state."""
        self.store, self.client, self.send = store, client, send
        self.handle_event, self.publish = handle_event, publish
        self.waiting_calls: dict[int, asyncio.Future[CompleteCall]] = {}
        self._loop = asyncio.get_running_loop()
        self._disk = ThreadPoolExecutor(1)
        self._tasks: set[asyncio.Task[None]] = set()  # referred to, or they may be collected before they end
        self._fetching: set[ConfigurationId] = set()

    def execute(self, command: Command) -> None:
        """Executes one command, or begins to."""
        match command:
            case SendMessage():
                self.send(command.message, command.ip)
            case StoreArea():
                self.spawn(self._store_and_report(command))
            case EraseArea():
                if self.store is not None:
                    self._loop.run_in_executor(self._disk, self.store.erase, command.area)
            case PushBody():
                self.spawn(self.client.push_body(command.ip, StoredBody(command.id, command.body)))
            case FetchBody():
                if command.id not in self._fetching:
                    self._fetching.add(command.id)
                    self.spawn(self._fetch_body(command))
            case CompleteCall():
                waiting = self.waiting_calls.pop(command.ticket, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(command)
            case PublishState():
                self.publish()
            case ReportEvacuation():
                _log_evacuation(command)
            case _:
                assert_never(command)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs `work` beside everything else."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def store_area(self, area: str, content: bytes) -> bool:
        """Stores an area; false where the disk did not store it."""
        assert self.store is not None, "areas are stored on machines with a disk alone"
        try:
            await self._loop.run_in_executor(self._disk, self.store.save, area, content)
        except StoreError as error:
            log.warning("The disk did not store an area.", area=area, **error.fields())
            return False
        return True

    async def _store_and_report(self, command: StoreArea) -> None:
        succeeded = await self.store_area(command.area, command.content)
        self.handle_event(AreaStored(command.area, succeeded))

    async def _fetch_body(self, command: FetchBody) -> None:
        try:
            stored = await self.client.fetch_body(command.ip, command.id)
            if stored is not None:
                self.handle_event(BodyReceived(stored.id, stored.body))
        finally:
            self._fetching.discard(command.id)


def _log_evacuation(report: ReportEvacuation) -> None:
    sentence = "An evacuation was rejected." if report.rejected else "An evacuation was decided."
    log.info(sentence, zone=report.zone, evacuated=report.evacuated, revision=report.revision, asked=report.asked)
