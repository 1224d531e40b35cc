package marigoldward.control.cluster

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import marigoldward.control.LogCapture
import marigoldward.control.routes.RouteReadResult
import marigoldward.control.routes.RouteStoreResult
import marigoldward.control.stages.EngineControl
import marigoldward.core.Outcome
import marigoldward.core.dispatch.EngineStatus
import marigoldward.core.dispatch.ListedUpstream
import marigoldward.core.flatMap
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaId
import marigoldward.core.replication.ReplicaMessage
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.routes.RouteProblem
import marigoldward.support.net.FreePorts
import marigoldward.support.program.KeyFile
import marigoldward.wire.peer.PeerEnvelope
import marigoldward.wire.peer.PeerRpc
import marigoldward.wire.rpc.Acknowledgement
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import marigoldward.wire.rpc.RpcClient
import java.io.File
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

/** Reads documents that consist of a version and a text, such as `7 anything`. */
private val DOCUMENT_READER = RouteDocumentReader { content ->
    val version = content.decodeToString().substringBefore(' ').toLongOrNull()
    val read: Outcome<Long, RouteProblem> =
        if (version == null) Outcome.Failure(RouteProblem.Unreadable("no version")) else Outcome.Success(version)
    read.flatMap { RouteConfiguration.check(it, emptyList(), emptyList(), CallerLimits.DEFAULT) }
}

private object NoEngines : EngineControl {
    override fun readStatus(engine: ListedUpstream): EngineControl.Reply<Outcome<EngineStatus, String>> =
        EngineControl.Reply(Outcome.Failure("no engines"), isLeaving = false)

    override fun send(order: EngineControl.StageOrder): EngineControl.Reply<EngineControl.OrderResult> =
        EngineControl.Reply(EngineControl.OrderResult.Refused("no engines"), isLeaving = false)
}

private const val CATCH_UP_MILLIS = 4_000L

private class Cluster : AutoCloseable {
    private val port = FreePorts.next()
    private val root: Path = Files.createTempDirectory("cluster")
    private val running = HashMap<Int, ClusterProgram>()
    private val readingCounts = HashMap<Int, AtomicInteger>()

    fun start(number: Int, isFirstStart: Boolean, seeds: List<Int> = listOf(1, 2, 3)) {
        val settings =
            ClusterSettings(
                ip = InstanceId.parse(ip(number)),
                dataCentre = DataCentre.parse("dc-$number"),
                operatorListen = InetSocketAddress(ip(number), 1),
                dataFolder = root.resolve("$number"),
                cluster =
                ClusterAccess(
                    seeds = seeds.map { InetSocketAddress(ip(it), 1) },
                    rpcPort = port,
                    identity = IDENTITY,
                ),
                isFirstStart = isFirstStart,
                lostInstances = 1,
                catchUpMillis = CATCH_UP_MILLIS,
                directory = InetSocketAddress("127.0.0.1", 1),
                leaseMillis = 3_000,
            )
        val readingCount = readingCounts.getOrPut(number) { AtomicInteger() }
        running[number] = ClusterProgram.start(settings, DOCUMENT_READER, { countedReading(readingCount) }, NoEngines)
    }

    /** Returns which instances read the directory during [periodMillis]. */
    fun readersWithin(periodMillis: Long): Set<Int> {
        val before = readingCounts.mapValues { it.value.get() }
        Thread.sleep(periodMillis)
        return readingCounts.filter { (number, count) -> count.get() > before.getValue(number) }.keys
    }

    /** Waits until all running instances know the same leader, and returns its number. */
    fun leader(): Int = await {
        running.values.map { it.leader }.distinct().singleOrNull()
    }.text.substringAfterLast('.').toInt()

    private fun countedReading(count: AtomicInteger): Outcome<List<ListedUpstream>, String> {
        count.incrementAndGet()
        return Outcome.Success(emptyList())
    }

    fun stop(number: Int) {
        running.remove(number)?.close()
    }

    fun wipe(number: Int) {
        File(root.toFile(), "$number").deleteRecursively()
    }

    /** Stores [document] through the first instance that gives a definite answer. */
    fun store(document: String): RouteStoreResult = await {
        running.values.map { it.routes.store(document.toByteArray()) }.firstOrNull {
            it !is RouteStoreResult.NotLeader && it !is RouteStoreResult.Unknown
        }
    }

    fun storeAt(number: Int, document: String): RouteStoreResult =
        running.getValue(number).routes.store(document.toByteArray())

    fun readAt(number: Int): RouteReadResult = running.getValue(number).routes.read()

    /** Sends [to] a heartbeat of a leader on the instance [leader], which needs not exist. */
    fun sendHeartbeat(leader: Int, to: ReplicaId) {
        val from = ReplicaId(id(leader), 1)
        val heartbeat =
            ReplicaMessage.Append(
                term = 1,
                previousIndex = 0,
                previousTerm = 0,
                entries = emptyList(),
                commitIndex = 0,
                round = 1,
            )
        RpcClient.to(InetSocketAddress(to.name.text, port), IDENTITY).use { client ->
            client.call(PeerRpc.DELIVER, PeerEnvelope(from, to, listOf(heartbeat)), WAIT_MILLIS) shouldBe
                Outcome.Success(Acknowledgement(isAccepted = true))
        }
    }

    /** Waits until the instance [number] names [leader]. */
    fun awaitLeaderAt(number: Int, leader: Int) {
        await { running.getValue(number).leader.takeIf { it == id(leader) } }
    }

    /** Reads the configuration from the first instance that confirms it. */
    fun read(): String? = await {
        running.values.map { it.routes.read() }.filterIsInstance<RouteReadResult.Current>().firstOrNull()
    }.content?.decodeToString()

    override fun close() {
        running.values.forEach(ClusterProgram::close)
        root.toFile().deleteRecursively()
    }

    fun id(number: Int): InstanceId = InstanceId.parse(ip(number))

    fun ip(number: Int): String = "127.0.77.$number"

    private fun <T : Any> await(attempt: () -> T?): T {
        val endMillis = System.nanoTime() / 1_000_000 + WAIT_MILLIS
        while (System.nanoTime() / 1_000_000 < endMillis) {
            attempt()?.let { return it }
            Thread.sleep(50)
        }
        error("no result within $WAIT_MILLIS ms")
    }

    private companion object {
        const val WAIT_MILLIS = 20_000L
        val IDENTITY = ClusterIdentity("test", KeyFile.fromSecret("a key of the tests"))
    }
}

class ClusterTest :
    DescribeSpec({
        describe("control instances that know only three seeds") {
            it("form a cluster, and keep configurations when they lose their disks one after the other") {
                Cluster().use { cluster ->
                    (1..3).forEach { cluster.start(it, isFirstStart = true) }
                    cluster.store("7 seven") shouldBe RouteStoreResult.Stored(7)
                    cluster.store("7 seven") shouldBe RouteStoreResult.Superseded(7)
                    cluster.store("7 other") shouldBe RouteStoreResult.VersionTaken(7)
                    cluster.store("nothing").shouldBeInstanceOf<RouteStoreResult.Invalid>()
                    cluster.read() shouldBe "7 seven"

                    (1..3).forEach { lost ->
                        cluster.stop(lost)
                        cluster.wipe(lost)
                        cluster.start(lost, isFirstStart = false)
                        cluster.store("${10 + lost} after the loss of $lost") shouldBe
                            RouteStoreResult.Stored(10L + lost)
                        Thread.sleep(4_000)
                    }
                    cluster.read() shouldBe "13 after the loss of 3"
                }
            }
            it("keep an acknowledged configuration when all are restarted") {
                Cluster().use { cluster ->
                    (1..3).forEach { cluster.start(it, isFirstStart = true) }
                    cluster.store("5 five")
                    (1..3).forEach(cluster::stop)
                    (1..3).forEach { cluster.start(it, isFirstStart = false) }
                    cluster.read() shouldBe "5 five"
                }
            }
            it("let only the leader read the list of upstreams, also after the leader was stopped") {
                Cluster().use { cluster ->
                    (1..3).forEach { cluster.start(it, isFirstStart = true) }
                    cluster.store("5 five")
                    val first = cluster.leader()
                    Thread.sleep(1_500)
                    cluster.readersWithin(2_000) shouldBe setOf(first)
                    cluster.stop(first)
                    cluster.readersWithin(3_000).isEmpty() shouldBe false
                    val next = cluster.leader()
                    // A follower reads the list itself until the list of a leader reaches it.
                    Thread.sleep(1_500)
                    cluster.readersWithin(2_000) shouldBe setOf(next)
                }
            }
            it("replace a permanently lost instance by one that is not among their seeds") {
                Cluster().use { cluster ->
                    (1..3).forEach { cluster.start(it, isFirstStart = true) }
                    cluster.store("5 five")
                    cluster.stop(3)
                    cluster.start(4, isFirstStart = false, seeds = listOf(2, 4))
                    Thread.sleep(14_000)
                    cluster.stop(1)
                    cluster.store("6 six") shouldBe RouteStoreResult.Stored(6)
                    cluster.read() shouldBe "6 six"
                }
            }
        }
        // A removed instance stayed a voter for 10 s after its successor had started, and the next lost disk ended the
        // quorum.
        describe("a cluster whose removed instance was replaced, when a disk is lost after the catch-up time") {
            listOf("the leader" to true, "a follower" to false).forEach { (name, isLeader) ->
                it("keeps its configuration: $name was removed") {
                    Cluster().use { cluster ->
                        (1..3).forEach { cluster.start(it, isFirstStart = true) }
                        cluster.store("5 five") shouldBe RouteStoreResult.Stored(5)
                        val leader = cluster.leader()
                        val removed = (1..3).first { (it == leader) == isLeader }
                        cluster.stop(removed)
                        cluster.start(4, isFirstStart = false)
                        Thread.sleep(CATCH_UP_MILLIS)
                        val wiped = (1..3).first { it != removed }
                        cluster.stop(wiped)
                        cluster.wipe(wiped)
                        cluster.start(wiped, isFirstStart = false)
                        cluster.read() shouldBe "5 five"
                        cluster.store("6 six") shouldBe RouteStoreResult.Stored(6)
                    }
                }
            }
        }
        // Operators got a 503 and backed off whenever they asked an instance that waits to join.
        describe("an instance that is no member") {
            it("names the leader to operators, also after another has taken over") {
                Cluster().use { cluster ->
                    (1..3).forEach { cluster.start(it, isFirstStart = true) }
                    cluster.start(4, isFirstStart = false)
                    cluster.store("5 five") shouldBe RouteStoreResult.Stored(5)
                    val first = cluster.leader()
                    cluster.storeAt(4, "6 six") shouldBe RouteStoreResult.NotLeader(cluster.id(first))
                    cluster.readAt(4) shouldBe RouteReadResult.NotLeader(cluster.id(first))
                    cluster.stop(first)
                    cluster.store("7 seven") shouldBe RouteStoreResult.Stored(7)
                    val next = cluster.leader()
                    cluster.storeAt(4, "8 eight") shouldBe RouteStoreResult.NotLeader(cluster.id(next))
                }
            }
            // A replica that was a learner once named the leader of that time for ever, also after that one was removed.
            it("names the leader that the others name, once the one it has heard from is silent") {
                LogCapture("membership").use { log ->
                    Cluster().use { cluster ->
                        (1..3).forEach { cluster.start(it, isFirstStart = true) }
                        cluster.start(4, isFirstStart = false)
                        cluster.store("5 five") shouldBe RouteStoreResult.Stored(5)
                        val leader = cluster.leader()
                        cluster.sendHeartbeat(leader = 9, to = joinedReplica(log, cluster.id(4)))
                        cluster.awaitLeaderAt(4, leader = 9)
                        Thread.sleep(2_000)
                        cluster.storeAt(4, "6 six") shouldBe RouteStoreResult.NotLeader(cluster.id(leader))
                        cluster.readAt(4) shouldBe RouteReadResult.NotLeader(cluster.id(leader))
                    }
                }
            }
        }
        // A whole replacement left no line, so nobody could tell why a change was lost beside one.
        describe("the log of a replacement") {
            it("tells on each instance who was replaced by whom, and why") {
                LogCapture("membership").use { log ->
                    Cluster().use { cluster ->
                        (1..3).forEach { cluster.start(it, isFirstStart = true) }
                        cluster.store("5 five") shouldBe RouteStoreResult.Stored(5)
                        val leader = cluster.leader()
                        val replaced = (1..3).first { it != leader }
                        cluster.stop(replaced)
                        cluster.start(4, isFirstStart = false)
                        Thread.sleep(CATCH_UP_MILLIS)
                        val newId = cluster.ip(4) + "#"
                        val oldId = cluster.ip(replaced) + "#1"
                        expectLeaderLines(log, cluster.ip(leader), newId, oldId)
                        expectJoinerLines(log, cluster.ip(4), cluster.ip(leader))
                        cluster.start(replaced, isFirstStart = false)
                        Thread.sleep(CATCH_UP_MILLIS + 2_000)
                        val self = "self=${cluster.ip(replaced)} "
                        log.linesWith("event=join_announced", self, "reason=no_leader").shouldNotBeEmpty()
                        log.linesWith("event=join_answered", self, "self_listed=false").shouldNotBeEmpty()
                    }
                }
            }
        }
    })

/** Returns the replica of the instance [name], which has asked to join. */
private fun joinedReplica(log: LogCapture, name: InstanceId): ReplicaId {
    val line = log.linesWith("event=join_received", "replica=$name#").first()
    val incarnation = Regex("replica=\\S+#(\\d+)").find(line)?.groupValues?.get(1)
    return ReplicaId(name, incarnation.shouldNotBeNull().toLong())
}

private fun expectLeaderLines(log: LogCapture, leaderIp: String, newId: String, oldId: String) {
    val self = "self=$leaderIp#1 "
    log.linesWith("event=join_received", self, "replica=$newId").size shouldBe 1
    listOf("add_learner" to newId, "promote" to newId, "remove" to oldId).forEach { (change, id) ->
        log.linesWith("event=member_change_started", self, "change=$change replica=$id").size shouldBe 1
        val ended = log.linesWith("event=member_change_ended", self, "change=$change replica=$id")
        ended.single() shouldContain "outcome=committed"
    }
    val started = log.linesWith("event=member_change_started", self, "change=add_learner").single()
    val silentMillis = Regex("silent_ms=\\S*$oldId:(\\d+)").find(started)?.groupValues?.get(1)
    silentMillis.shouldNotBeNull().toLong() shouldBeGreaterThanOrEqual CATCH_UP_MILLIS / 2
}

private fun expectJoinerLines(log: LogCapture, ip: String, leaderIp: String) {
    log.linesWith("event=join_announced", "self=$ip ", "reason=no_member").shouldNotBeEmpty()
    log.linesWith("event=join_answered", "self=$ip ", "leader=$leaderIp ").shouldNotBeEmpty()
    listOf("learner", "voter").forEach { role ->
        log.linesWith("event=members_committed", "self=$ip#", "own_role=$role").shouldNotBeEmpty()
    }
}
