"""Where an instance's configuration comes from at start and at SIGHUP, with what was agreed kept beside it."""

from concurrent.futures import ThreadPoolExecutor

import structlog

from ..settings import BadSettings, read_config
from ..settings.operator import load_operator, parse_operator
from .bundle import COVERS, BadBundle, Kept, read_bundle, without
from .keeper import Candidate, Keeper

log = structlog.get_logger(__name__)


class Served:
    """`config_path`, `operator_path`: the instance's files. `start()` tells what it serves from: (Config, Operator,
    RouteTable or None)."""

    def __init__(self, config_path, operator_path, windows, folder, covers=COVERS):
        self.config_path, self.operator_path, self.covers = config_path, operator_path, covers
        self.windows, self.kept = windows, Kept(folder, covers)
        self.bundles, self.keeper = {}, None
        self.disk, self.saved = ThreadPoolExecutor(1, "agreed"), None

    def start(self):
        """The configuration agreed on last, as far as this instance knows, or else its files'."""
        kept = self.kept.load()
        if kept is None:
            bundle = self._files()
        else:
            bundle = kept
            self.saved = kept.digest
            try:
                files = self._files()
            except (BadBundle, BadSettings) as why:
                log.warning("files_unreadable", **why.fields())
            else:
                if files.digest != kept.digest:
                    log.warning(
                        "agreed_configuration_served",
                        digest=kept.digest,
                        files=files.digest,
                        do=("the newer files are handed to the planners as a change; SIGHUP hands them again"),
                    )
        self.bundles[bundle.digest] = bundle
        self.keeper = Keeper(bundle.digest, self.windows, kept is not None)
        return self._read(bundle)

    def read(self):
        """The files as they stand, as a `Candidate` whose content is (Config, RouteTable or None)."""
        bundle = self._files()
        self.bundles = {
            digest: known for digest, known in self.bundles.items() if digest in (self.keeper.serving, bundle.digest)
        }
        config, operator, table = self._read(bundle)
        served = self.bundles[self.keeper.serving]
        if bundle.config.get("settings") != served.config.get("settings") or without(
            bundle.operator, True, True
        ) != without(served.operator, True, True):
            raise BadSettings(
                "the platform's settings or the operator's file are others, which hold from an instance's start",
                self.config_path,
                "stop all instances, remove what each keeps as agreed, and start them on the new files",
            )
        self.bundles[bundle.digest] = bundle
        # Exceptions are declared beside a change; windows hold as they were declared before it.
        self.windows.exemptions = operator.freeze.made(operator.accord.skew_s).exemptions
        return Candidate(bundle.digest, (config, table))

    def keep(self, digest):
        """Kept for the next start, in a thread."""
        bundle = self.bundles.get(digest)
        if bundle is not None and self.saved != digest:
            self.saved = digest
            self.disk.submit(self._save, bundle)

    def _save(self, bundle):
        try:
            self.kept.save(bundle)
        except OSError as why:
            self.saved = None
            log.error(
                "agreed_not_kept",
                why=why.strerror,
                where=str(self.kept.path),
                do=("make the folder writable: until then a restart serves by the files beside the instance"),
            )

    def _files(self):
        operator = load_operator(self.operator_path)
        return read_bundle(self.config_path, self.operator_path, operator.routes and operator.routes.file, self.covers)

    def _read(self, bundle):
        """(Config, Operator, RouteTable or None) of a bundle: kept texts are read as the files would be."""
        config = read_config(bundle.config)
        operator = parse_operator(bundle.operator, self.operator_path)
        table = None if operator.routes is None else operator.routes.read(config, bundle.routes)
        return config, operator, table
