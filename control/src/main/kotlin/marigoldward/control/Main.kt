package marigoldward.control

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import marigoldward.control.storage.ReplicaStore
import marigoldward.control.storage.StorageProblem
import marigoldward.control.storage.toMessage
import marigoldward.core.Outcome
import marigoldward.core.replication.ReplicaId
import marigoldward.support.program.HangupSignal
import marigoldward.support.program.Program
import marigoldward.support.settings.SettingsProblem
import java.io.File
import java.security.SecureRandom

private const val PROGRAM = "marigoldward-control"
private const val FIRST_INCARNATION = 1L

/** Runs a control instance. With `--init-new-cluster`, only prepares its data folder. */
public fun main(arguments: Array<String>) {
    HangupSignal.install()
    if (arguments.singleOrNull() == "--version") Program.printVersion(PROGRAM)
    val parser = ArgParser(PROGRAM)
    val settingsFile by parser
        .option(ArgType.String, fullName = "settings", description = "INI settings file of this process")
        .required()
    val isNewCluster by parser
        .option(ArgType.Boolean, fullName = "init-new-cluster", description = "prepare the first replicas, then end")
        .default(false)
    parser.parse(arguments)
    val file = File(settingsFile)
    if (isNewCluster) {
        initialise(Program.loadSettings(file, ControlSettings::read))
    } else {
        run(Program.awaitSettings(file, read = ControlSettings::read).settings)
    }
}

private fun initialise(settings: ControlSettings) {
    val voters = settings.peers.keys.map { ReplicaId(it, FIRST_INCARNATION) }.toSet()
    val self = ReplicaId(settings.id, FIRST_INCARNATION)
    when (val result = ReplicaStore.initialise(settings.dataFolder, settings.clusterId, self, voters)) {
        is Outcome.Success -> println("initialised $self in ${settings.dataFolder}")
        is Outcome.Failure -> Program.exitWithProblems(listOf(problem(settings, result.error)))
    }
}

private fun run(settings: ControlSettings) {
    val newReplica = ReplicaId(settings.id, SecureRandom().nextLong(FIRST_INCARNATION + 1, Long.MAX_VALUE))
    when (val store = ReplicaStore.openWhenFree(settings.dataFolder, settings.clusterId, newReplica)) {
        is Outcome.Failure ->
            Program.endWithProblems("data_folder_unusable", listOf(problem(settings, store.error)))
        is Outcome.Success -> {
            Program.run { ControlProgram.start(settings, store.value) }
        }
    }
}

private fun problem(settings: ControlSettings, problem: StorageProblem): SettingsProblem =
    SettingsProblem(settings.dataFolder.toString(), 0, problem.toMessage())
