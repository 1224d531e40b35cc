package marigoldward.gateway.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import marigoldward.core.Outcome
import marigoldward.core.flatMap
import marigoldward.core.model.InstanceId
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RouteConfiguration
import marigoldward.core.routes.RouteDocument
import marigoldward.core.routes.RouteDocumentReader
import marigoldward.core.routes.RouteProblem
import marigoldward.gateway.GatewayMetrics
import marigoldward.gateway.GatewayProgram
import marigoldward.gateway.GatewaySettings
import marigoldward.gateway.TestDialect
import marigoldward.support.bytes.Gzip
import marigoldward.support.net.FreePorts
import marigoldward.wire.rpc.ClusterAccess
import java.io.Closeable
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket

/** The time within which a change must be in force after its acknowledgement. */
private const val APPLY_MILLIS = 2_000L
private const val AWAIT_MILLIS = 15_000L

/** Reads documents that consist of a version. */
private val READER = RouteDocumentReader { content ->
    val version = content.decodeToString().toLongOrNull()
    val read: Outcome<Long, RouteProblem> =
        if (version == null) Outcome.Failure(RouteProblem.Unreadable("no version")) else Outcome.Success(version)
    read.flatMap { RouteConfiguration.check(it, emptyList(), emptyList(), CallerLimits.DEFAULT) }
}

private fun document(version: Long, content: String = "$version"): RouteDocument =
    RouteDocument(version, Gzip.compress(content.toByteArray()))

/** A gateway and the control instances that it knows, on loopback addresses. */
private class Network : Closeable {
    private val opened = ArrayList<AutoCloseable>()
    private val seeds = ArrayList<InetSocketAddress>()
    val rpcPort = FreePorts.next()
    private val readinessAddress = InetSocketAddress("127.0.83.100", FreePorts.next())

    init {
        GatewayMetrics.routesVersion.set(0.0)
    }

    val versionInForce: Long get() = GatewayMetrics.routesVersion.get().toLong()

    val isReady: Boolean
        get() = Socket(readinessAddress.address, readinessAddress.port).use { socket ->
            val request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().bufferedReader().readLine().startsWith("HTTP/1.1 200")
        }

    fun control(document: RouteDocument?, staleMillis: Long = 0): FakeControl =
        FakeControl(nextIp(), rpcPort, document, staleMillis = staleMillis).also(opened::add)

    /** Adds an address that accepts connections and never answers. */
    fun silentAddress() {
        opened += ServerSocket(rpcPort, 50, InetAddress.getByName(nextIp()))
    }

    /** Adds an address that refuses connections. */
    fun refusingAddress() {
        nextIp()
    }

    fun startGateway(id: String = "entry-1") {
        val ip = readinessAddress.hostString
        val settings =
            GatewaySettings(
                id = InstanceId.parse(id),
                dataCentre = FakeControl.DATA_CENTRE,
                ip = ip,
                callerListenAddress = InetSocketAddress(ip, FreePorts.next()),
                readinessListenAddress = readinessAddress,
                metricsPort = FreePorts.next(),
                cluster = ClusterAccess(seeds.toList(), rpcPort, FakeControl.IDENTITY),
                directoryAddress = InetSocketAddress("127.0.0.1", 1),
                gracePeriodMillis = 100,
                retryBudgetRatio = 0.2,
                retryBudgetSlack = 50,
                retryBudgetWindowMillis = 10_000,
            )
        val gateway = GatewayProgram.start(settings, READER, { Outcome.Failure("no directory") }, TestDialect)
        opened.add(0, AutoCloseable { gateway.close() })
    }

    fun awaitVersion(version: Long): List<Long> {
        val seen = ArrayList<Long>()
        awaitTrue("version $version is in force") { versionInForce.also(seen::add) == version }
        return seen
    }

    /** Returns the one of [controls] that the gateway follows, once it has a single stream. */
    fun awaitFollowed(controls: List<FakeControl>): FakeControl {
        awaitTrue("one instance is followed") { controls.sumOf { it.openCount } == 1 }
        return controls.single { it.openCount == 1 }
    }

    fun awaitTrue(what: String, condition: () -> Boolean) {
        val endNanos = System.nanoTime() + AWAIT_MILLIS * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "not within $AWAIT_MILLIS ms: $what" }
            Thread.sleep(2)
        }
    }

    override fun close() = opened.forEach { it.close() }

    private fun nextIp(): String = "127.0.83.${seeds.size + 1}".also { seeds += InetSocketAddress(it, 1) }
}

private fun millisFor(action: () -> Unit): Long {
    val startNanos = System.nanoTime()
    action()
    return (System.nanoTime() - startNanos) / 1_000_000
}

class RoutesInForceTest :
    DescribeSpec({
        describe("a gateway whose control instance stops sending while a change is acknowledged") {
            // Guards against a confirmed change in force too late because addresses that never answer are tried in turn.
            for (silentCount in listOf(0, 2, 6)) {
                it("has the change in force in time if $silentCount other addresses never answer") {
                    Network().use { network ->
                        repeat(silentCount) { network.silentAddress() }
                        val controls = List(2) { network.control(document(1)) }
                        network.startGateway()
                        network.awaitVersion(1)
                        val followed = network.awaitFollowed(controls)
                        followed.stop()
                        (controls - followed).single().put(document(2))
                        millisFor { network.awaitVersion(2) } shouldBeLessThan APPLY_MILLIS
                    }
                }
            }
            it("has the change in force in time if another instance answers with outdated state and others refuse") {
                Network().use { network ->
                    repeat(4) { network.refusingAddress() }
                    val outdated = network.control(document(1), staleMillis = 60_000)
                    val controls = List(2) { network.control(document(1)) }
                    network.startGateway()
                    network.awaitVersion(1)
                    val followed = network.awaitFollowed(controls + outdated)
                    followed.stop()
                    (controls - followed).single().put(document(2))
                    millisFor { network.awaitVersion(2) } shouldBeLessThan APPLY_MILLIS
                }
            }
        }
        describe("a gateway whose updates are under way for longer and longer") {
            // Guards against updates that are seconds old and taken for fresh, so that a change is in force too late.
            it("has a change in force in time if another instance is reachable without delay") {
                Network().use { network ->
                    val controls = List(2) { network.control(document(1)) }
                    network.startGateway()
                    network.awaitVersion(1)
                    val followed = network.awaitFollowed(controls)
                    followed.slowDown(growthMillis = 200, maxMillis = 3_000)
                    Thread.sleep(7_000)
                    controls.forEach { it.put(document(2)) }
                    millisFor { network.awaitVersion(2) } shouldBeLessThan APPLY_MILLIS
                }
            }
        }
        describe("a gateway that follows a control instance") {
            // Guards against further streams in steady state, which cost processor time and bytes.
            it("has no stream of another") {
                Network().use { network ->
                    val controls = List(3) { network.control(document(1)) }
                    network.startGateway()
                    network.awaitVersion(1)
                    network.awaitFollowed(controls)
                    val watchCount = controls.sumOf { it.watchCount }
                    Thread.sleep(2_500)
                    controls.sumOf { it.watchCount } shouldBe watchCount
                    controls.sumOf { it.openCount } shouldBe 1
                }
            }
        }
        describe("a gateway that starts") {
            // Guards against an outdated first configuration, taken because addresses that never answer came first.
            it("takes no outdated configuration if an instance with fresh state is reachable") {
                Network().use { network ->
                    network.control(document(1), staleMillis = 60_000)
                    repeat(7) { network.silentAddress() }
                    network.control(document(2))
                    network.startGateway()
                    network.awaitVersion(2) shouldNotContain 1L
                }
            }
            it("takes the newest of the outdated configurations if no instance has fresh state") {
                Network().use { network ->
                    listOf(3L, 5L, 4L).forEach { network.control(document(it), staleMillis = 60_000) }
                    network.startGateway()
                    network.awaitVersion(5).toSet() shouldBe setOf(0L, 5L)
                }
            }
        }
        describe("a gateway that is sent a configuration that it can't read") {
            // Guards against a damaged configuration that takes the list of upstreams in the same update with it.
            it("applies the rest of the update, and the next configuration") {
                Network().use { network ->
                    val control = network.control(RouteDocument(1, byteArrayOf(1, 2, 3)))
                    network.startGateway()
                    network.awaitFollowed(listOf(control))
                    control.put(document(2))
                    network.awaitVersion(2)
                    network.awaitTrue("the gateway is ready") { network.isReady }
                }
            }
            it("keeps the configuration before it, and shows the version that is missing") {
                Network().use { network ->
                    val control = network.control(document(1))
                    network.startGateway()
                    network.awaitVersion(1)
                    control.put(document(2, "from a newer release"))
                    network.awaitTrue("the version is shown") { GatewayMetrics.unreadableRoutesVersion.get() == 2.0 }
                    network.versionInForce shouldBe 1
                    network.isReady shouldBe true
                    control.put(document(3))
                    network.awaitVersion(3)
                    network.awaitTrue("none is missing") { GatewayMetrics.unreadableRoutesVersion.get() == 0.0 }
                }
            }
        }
    })
