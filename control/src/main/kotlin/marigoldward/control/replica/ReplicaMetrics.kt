package marigoldward.control.replica

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram

/** The metrics of replication. */
internal object ReplicaMetrics {
    private const val MILLIS_PER_SECOND = 1_000.0

    val term: Gauge = gauge("marigoldward_replica_term", "The term of this replica")
    val isLeader: Gauge = gauge("marigoldward_replica_leader", "1 if this replica leads")
    val commitIndex: Gauge = gauge("marigoldward_replica_commit_index", "The last entry that can't be lost")
    val logEntries: Gauge = gauge("marigoldward_replica_log_entries", "Entries after the snapshot")
    val diskWritable: Gauge = gauge("marigoldward_replica_disk_writable", "1 unless the last write failed")
    val revision: Gauge = gauge("marigoldward_replica_revision", "The configuration in force")
    val elections: Counter = counter("marigoldward_replica_leaderships_total", "How often this replica began to lead")
    val commands: Counter = counter("marigoldward_control_commands_total", "Commands applied")
    private val syncSeconds: Histogram =
        Histogram
            .builder()
            .name("marigoldward_replica_sync_seconds")
            .help("Time to make a batch durable")
            .classicUpperBounds(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0)
            .register()

    fun observeSync(millis: Long) = syncSeconds.observe(millis / MILLIS_PER_SECOND)

    private fun gauge(name: String, help: String): Gauge = Gauge.builder().name(name).help(help).register()

    private fun counter(name: String, help: String): Counter = Counter.builder().name(name).help(help).register()
}
