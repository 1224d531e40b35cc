package marigoldward.control.cluster

import marigoldward.control.storage.ReplicaStore
import marigoldward.control.storage.StorageProblem
import marigoldward.control.storage.toMessage
import marigoldward.core.Outcome
import marigoldward.core.replication.ReplicaId
import marigoldward.support.log.EventLog
import marigoldward.support.program.Termination
import marigoldward.support.time.MonotonicClock
import java.io.IOException
import java.security.SecureRandom

/** Opens the data folder of a control instance whose cluster changes its members without an operator. */
internal object ClusterStore {
    private const val FIRST_INCARNATION = 1L
    private const val RETRY_MILLIS = 500L
    private val log = EventLog.fromName("storage")

    /**
     * Opens the folder. Tries again until it succeeds.
     *
     * @throws Termination.StartCancelled if the process is asked to terminate meanwhile
     */
    fun open(settings: ClusterSettings): ReplicaStore {
        val startMillis = MonotonicClock.nowMillis()
        var loggedProblem: String? = null
        while (true) {
            Termination.checkNotRequested()
            when (val opened = tryOpen(settings)) {
                is Outcome.Success -> {
                    if (loggedProblem != null) {
                        log.info("data_folder_usable") { field("waited_ms", MonotonicClock.nowMillis() - startMillis) }
                    }
                    return opened.value
                }
                is Outcome.Failure -> {
                    val problem = opened.error
                    if (problem.text != loggedProblem) logWait(settings, problem, startMillis)
                    loggedProblem = problem.text
                    // The next attempt gives the emptied folder to a new replica.
                    if (!problem.isCleared) Thread.sleep(RETRY_MILLIS)
                }
            }
        }
    }

    /** Why the folder can't be used; [isCleared] if its files were damaged and have been deleted. */
    private data class Problem(val text: String, val isCleared: Boolean)

    private fun logWait(settings: ClusterSettings, problem: Problem, startMillis: Long) =
        log.warn("data_folder_unusable") {
            field("folder", settings.dataFolder)
            field("problem", problem.text)
            field("cleared", problem.isCleared)
            field("waited_ms", MonotonicClock.nowMillis() - startMillis)
        }

    private fun tryOpen(settings: ClusterSettings): Outcome<ReplicaStore, Problem> = try {
        if (settings.isFirstStart) initialiseIfUnused(settings)
        val newReplica = ReplicaId(settings.ip, SecureRandom().nextLong(FIRST_INCARNATION + 1, Long.MAX_VALUE))
        when (val opened = ReplicaStore.open(settings.dataFolder, settings.cluster.identity.clusterId, newReplica)) {
            is Outcome.Success -> opened
            is Outcome.Failure -> {
                val isCorrupt = opened.error is StorageProblem.Corrupt
                // The instance starts again as a new replica, as if its disk were lost.
                if (isCorrupt) ReplicaStore.clear(settings.dataFolder)
                Outcome.Failure(Problem(opened.error.toMessage(), isCorrupt))
            }
        }
    } catch (failure: IOException) {
        Outcome.Failure(Problem("$failure", isCleared = false))
    }

    /**
     * Makes the seeds the first voters, unless a replica may have run with the folder already. A first start that was
     * cut short, or whose disk refused a write, is repeated. All instances must be given the same seeds at the first
     * start of the system.
     */
    private fun initialiseIfUnused(settings: ClusterSettings) {
        val self = ReplicaId(settings.ip, FIRST_INCARNATION)
        val voters = settings.cluster.seedInstances.map { ReplicaId(it, FIRST_INCARNATION) }.toSet()
        if (self !in voters || !ReplicaStore.isUnused(settings.dataFolder)) return
        ReplicaStore.initialise(settings.dataFolder, settings.cluster.identity.clusterId, self, voters)
    }
}
