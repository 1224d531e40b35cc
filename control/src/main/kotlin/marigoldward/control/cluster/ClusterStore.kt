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

/** Opens the data folder of an instance whose cluster finds its members by itself. */
internal object ClusterStore {
    private const val FIRST_INCARNATION = 1L
    private const val RETRY_MILLIS = 500L
    private val log = EventLog.fromName("storage")

    /** Opens the folder, and waits for as long as the disk does not let it. */
    fun open(settings: ClusterSettings): ReplicaStore {
        while (true) {
            openOrNull(settings)?.let { return it }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun openOrNull(settings: ClusterSettings): ReplicaStore? = try {
        initialiseIfFirst(settings)
        val newcomer = ReplicaId(settings.ip, SecureRandom().nextLong(FIRST_INCARNATION + 1, Long.MAX_VALUE))
        when (val opened = ReplicaStore.open(settings.dataFolder, settings.cluster.identity.clusterId, newcomer)) {
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

    /** The seeds of the very first start are the first voters: all instances are given the same. */
    private fun initialiseIfFirst(settings: ClusterSettings) {
        val self = ReplicaId(settings.ip, FIRST_INCARNATION)
        val voters = settings.cluster.seedInstances.map { ReplicaId(it, FIRST_INCARNATION) }.toSet()
        if (!settings.isFirstStart || self !in voters || !isEmpty(settings)) return
        ReplicaStore.initialise(settings.dataFolder, settings.cluster.identity.clusterId, self, voters)
    }

    private fun isEmpty(settings: ClusterSettings): Boolean {
        if (!Files.isDirectory(settings.dataFolder)) return true
        return Files.list(settings.dataFolder).use { files -> files.findAny().isEmpty }
    }

    /** A damaged folder is as good as a lost disk: the instance comes back as a newcomer. */
    private fun clear(settings: ClusterSettings) {
        Files.list(settings.dataFolder).use { files -> files.forEach(Files::delete) }
    }
}
