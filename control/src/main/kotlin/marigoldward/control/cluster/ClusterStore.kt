package marigoldward.control.cluster

import marigoldward.control.storage.ReplicaStore
import marigoldward.control.storage.StorageProblem
import marigoldward.control.storage.toMessage
import marigoldward.core.Outcome
import marigoldward.core.replication.ReplicaId
import marigoldward.support.log.EventLog
import java.io.IOException
import java.nio.file.Files
import java.security.SecureRandom

/** Opens the data folder of a control instance whose cluster changes its members without an operator. */
internal object ClusterStore {
    private const val FIRST_INCARNATION = 1L
    private const val RETRY_MILLIS = 500L
    private val log = EventLog.fromName("storage")

    /** Opens the folder. Tries again until it succeeds. */
    fun open(settings: ClusterSettings): ReplicaStore {
        while (true) {
            openOrNull(settings)?.let { return it }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun openOrNull(settings: ClusterSettings): ReplicaStore? = try {
        initialiseIfFirstStart(settings)
        val newReplica = ReplicaId(settings.ip, SecureRandom().nextLong(FIRST_INCARNATION + 1, Long.MAX_VALUE))
        when (val opened = ReplicaStore.open(settings.dataFolder, settings.cluster.identity.clusterId, newReplica)) {
            is Outcome.Success -> opened.value
            is Outcome.Failure -> {
                log.warn("data_folder_unusable") { field("problem", opened.error.toMessage()) }
                if (opened.error is StorageProblem.Corrupt) clear(settings)
                null
            }
        }
    } catch (failure: IOException) {
        log.warn("data_folder_unusable") { field("problem", failure) }
        null
    }

    /**
     * Makes the seeds the first voters. All instances must be given the same seeds at the first start of the system.
     */
    private fun initialiseIfFirstStart(settings: ClusterSettings) {
        val self = ReplicaId(settings.ip, FIRST_INCARNATION)
        val voters = settings.cluster.seedInstances.map { ReplicaId(it, FIRST_INCARNATION) }.toSet()
        if (!settings.isFirstStart || self !in voters || !isEmpty(settings)) return
        ReplicaStore.initialise(settings.dataFolder, settings.cluster.identity.clusterId, self, voters)
    }

    private fun isEmpty(settings: ClusterSettings): Boolean {
        if (!Files.isDirectory(settings.dataFolder)) return true
        return Files.list(settings.dataFolder).use { files -> files.findAny().isEmpty }
    }

    /** Deletes a damaged folder's files, as if its disk were lost: the instance starts again as a new replica. */
    private fun clear(settings: ClusterSettings) {
        Files.list(settings.dataFolder).use { files -> files.forEach(Files::delete) }
    }
}
