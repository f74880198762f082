"""The duty that one control plane does for all: it asks the platform for its list of workers and writes the registry.

It does so under the lease, and under a term that a majority decided: what it writes bears the term, and whoever has heard a
later one refuses it. Decides nothing by itself: `LeaseCandidate`, `Replica` and `Discovery` do.
"""

import aiohttp
import msgspec

from ..common.logs import ComponentLogger
from ..common.messages import LeaseReply, LeaseRequest

log = ComponentLogger("control-plane")


class WorkerListDuty:
    def __init__(self, process):
        """`process`: the ControlPlane that this is a part of."""
        self.process = process
        self.listing = None

    def beat(self):
        """To be called every few tenths of a second."""
        process, now = self.process, self.process.now()
        self._renew_lease(now)
        process.tell_lease(process.holder.holds(now))
        term = self.term()
        if term is None:
            return
        if process.discovery.list_due(now) and (self.listing is None or self.listing.done()):
            process.discovery.list_asked(now)
            self.listing = process.loop.create_task(self._list_workers())
        self.write()

    def term(self):
        """The term under which this process may act for all now, or None."""
        process = self.process
        return process.replica.term() if process.holder.holds(process.now()) else None

    def write(self):
        """The registry as this process sees it, if it may write it."""
        process, term = self.process, self.term()
        if term is None or process.discovery.listed is None:
            return
        gateways = process.discovery.gateways(process.now())
        if process.registry.write(term, process.discovery.listed, gateways):
            process.notify()

    # The lease -------------------------------------------------------------------------------------------------------

    def _renew_lease(self, now):
        process = self.process
        voters = self._voters()
        if process.replica.member not in voters or not process.replica.may_ask_lease():
            return
        if process.holder.gives_up(now):
            process.granter.release(now, process.holder.node)
        rank, seen = voters.index(process.replica.member), self.highest_seen()
        ask = process.holder.due(now, rank, process.granter.until, seen)
        if ask is None:
            return
        names = [str(voter) for voter in voters]
        own = str(process.replica.member)
        if process.granter.ask(now, own, ask[1]):
            process.holder.granted(now, own, *ask, True, names)
        for voter in voters:
            if voter.ip != process.set.ip:
                process.send(LeaseRequest(own, *ask), voter.ip)

    def _voters(self):
        state = self.process.replica.state
        return state.voters if state is not None else ()

    def highest_seen(self):
        """The highest term or epoch of a lease that anything heard of bears."""
        process = self.process
        return max(process.granter.epoch, process.registry.mark[0], process.discovery.highest)

    def lease_asked(self, message, address):
        process = self.process
        granted = process.granter.ask(process.now(), message.node, message.epoch)
        seen = process.granter.epoch
        grant = LeaseReply(str(process.replica.member), message.ask, message.epoch, granted, seen)
        process.datagrams.send(grant, address)

    def lease_granted(self, message):
        process, now = self.process, self.process.now()
        names = [str(voter) for voter in self._voters()]
        if not message.granted and message.seen > message.epoch:
            process.holder.refused_for(message.seen)
        if process.holder.granted(now, message.node, message.ask, message.epoch, message.granted, names):
            log.info("The lease is held here.", epoch=process.holder.epoch)
            process.tell_lease(True)

    # The platform's list ---------------------------------------------------------------------------------------------

    async def _list_workers(self):
        """Page by page; what is not whole is not used."""
        discovery, now = self.process.discovery, self.process.now
        token = None
        while True:
            try:
                status, told = await self._page(token)
                if status != 200:
                    return discovery.list_failed(now(), status == 429)
                listed = told["instances"]
                rows = [dict(zip(listed["cols"], row)) for row in listed["rows"]]
                token = told.get("nextCursor")
                if discovery.list_page(now(), rows, token):
                    return self.write()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return discovery.list_failed(now(), False)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as why:
                log.warning("The list of workers cannot be read.", why=repr(why))
                return discovery.list_failed(now(), False)

    async def _page(self, token):
        process = self.process
        query = {"pageToken": token} if token else None
        url = f"http://{process.set.cloud[0]}:{process.set.cloud[1]}/workers"
        async with process.session.get(url, params=query) as answer:
            if answer.status != 200:
                return answer.status, None
            return 200, msgspec.json.decode(await answer.read())
