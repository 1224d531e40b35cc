package marigoldward.control.cluster

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import marigoldward.control.storage.ReplicaStore
import marigoldward.core.model.DataCentre
import marigoldward.core.model.InstanceId
import marigoldward.core.replication.ReplicaId
import marigoldward.support.program.KeyFile
import marigoldward.wire.rpc.ClusterAccess
import marigoldward.wire.rpc.ClusterIdentity
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val CLUSTER = "test"
private const val MAX_START_SECONDS = 5L
private val FILES = listOf("snapshot", "hard-state", "identity")
private val SEEDS = (1..3).map { InetSocketAddress("127.0.0.$it", 1) }
private val FIRST_VOTERS = (1..3).map { ReplicaId(InstanceId.parse("127.0.0.$it"), 1) }.toSet()
private val SELF = FIRST_VOTERS.first()

private fun newFolder(): Path = Files.createTempDirectory("cluster-store")

private fun settings(folder: Path, isFirstStart: Boolean): ClusterSettings = ClusterSettings(
    ip = SELF.name,
    dataCentre = DataCentre.parse("a"),
    operatorListen = SEEDS.first(),
    dataFolder = folder,
    cluster = ClusterAccess(SEEDS, 1, ClusterIdentity(CLUSTER, KeyFile.fromSecret("a key of the tests"))),
    isFirstStart = isFirstStart,
    lostInstances = 1,
    catchUpMillis = 4_000,
    directory = SEEDS.first(),
    leaseMillis = 3_000,
)

/** Returns the replica and the voters of the folder after a start, or fails if the start takes too long. */
private fun opened(folder: Path, isFirstStart: Boolean): Pair<ReplicaId, Set<ReplicaId>> {
    val ownThread = Executor { thread(isDaemon = true, block = it::run) }
    val store = CompletableFuture.supplyAsync({ ClusterStore.open(settings(folder, isFirstStart)) }, ownThread)
    return store.get(MAX_START_SECONDS, TimeUnit.SECONDS).use {
        it.replica to it.recovered.snapshot.point.members.voters
    }
}

private fun initialisedFolder(): Path = newFolder().also { ReplicaStore.initialise(it, CLUSTER, SELF, FIRST_VOTERS) }

/** Creates a folder at [path] that can be neither opened as a file nor deleted, as it isn't empty. */
private fun createObstacle(path: Path): Path = Files.createDirectory(path).also { Files.createFile(it.resolve("file")) }

private fun deleteObstacle(path: Path) {
    Files.delete(path.resolve("file"))
    Files.delete(path)
}

/** Returns the folders that a first start may leave if it is cut short while it writes the files in order. */
private fun foldersOfCutStarts(): Map<String, Path> = FILES.indices.flatMap { written ->
    val kept = FILES.take(written)
    listOf(null, 0, 1, 20).map { bytes ->
        val folder = initialisedFolder()
        val next = FILES[written]
        val content = Files.readAllBytes(folder.resolve(next))
        (FILES - kept.toSet()).forEach { Files.delete(folder.resolve(it)) }
        if (bytes != null) Files.write(folder.resolve("$next.new"), content.copyOf(minOf(bytes, content.size)))
        "$kept, $bytes bytes of $next.new" to folder
    }
}.toMap()

class ClusterStoreTest :
    DescribeSpec({
        // Instances whose first start was cut short, or whose disk refused a write, started again as replicas that
        // nobody knew: no cluster formed.
        describe("the first start of an instance") {
            it("makes it a first voter after one that was cut short at any write") {
                val others = foldersOfCutStarts().mapValues { (_, folder) -> opened(folder, isFirstStart = true) }
                    .filterValues { it != SELF to FIRST_VOTERS }
                others.keys.shouldBeEmpty()
            }
            FILES.forEach { name ->
                it("makes it a first voter after its disk has refused to write the $name") {
                    val folder = newFolder()
                    val obstacle = createObstacle(folder.resolve("$name.new"))
                    val remover = thread {
                        Thread.sleep(700)
                        deleteObstacle(obstacle)
                    }
                    opened(folder, isFirstStart = true) shouldBe (SELF to FIRST_VOTERS)
                    remover.join()
                }
            }
            it("makes it a first voter beside files that are not its own") {
                val folder = newFolder()
                Files.createDirectories(folder.resolve("lost+found").resolve("inode"))
                opened(folder, isFirstStart = true) shouldBe (SELF to FIRST_VOTERS)
            }
            it("keeps what the replica has recorded, if its process starts again") {
                val folder = newFolder()
                ClusterStore.open(settings(folder, isFirstStart = true)).use {
                    it.writeHardState(it.recovered.hardState.copy(term = 7))
                }
                ClusterStore.open(settings(folder, isFirstStart = true)).use {
                    it.replica shouldBe SELF
                    it.recovered.hardState.term shouldBe 7
                }
            }
            // Guards against a voter that has forgotten its votes and entries.
            it("does not make it a first voter again if the files of a replica are damaged") {
                FILES.forEach { name ->
                    val folder = newFolder()
                    ClusterStore.open(settings(folder, isFirstStart = true)).use {
                        it.writeHardState(it.recovered.hardState.copy(term = 7))
                    }
                    Files.write(folder.resolve(name), ByteArray(20) { 1 })
                    val (replica, voters) = opened(folder, isFirstStart = true)
                    replica shouldNotBe SELF
                    voters.shouldBeEmpty()
                }
            }
        }
        // An instance whose disk refused a write while it opened its folder waited for its own lock for good.
        describe("a start whose disk refuses a write") {
            (FILES.map { "$it.new" } + "log").forEach { name ->
                it("ends when the disk takes the $name") {
                    val folder = newFolder()
                    val obstacle = createObstacle(folder.resolve(name))
                    val remover = thread {
                        Thread.sleep(700)
                        deleteObstacle(obstacle)
                    }
                    opened(folder, isFirstStart = false).second.shouldBeEmpty()
                    remover.join()
                }
            }
        }
        // Guards against an instance that doesn't start with what a loss of power or a kill has left on its disk.
        describe("any files of a replica that are missing, empty or cut short") {
            it("let the instance start") {
                val forms = listOf<(ByteArray) -> ByteArray?>(
                    { null },
                    { ByteArray(0) },
                    { it.copyOf(it.size / 2) },
                    { it },
                )
                val names = FILES + "log"
                (0 until 256).forEach { number ->
                    val folder = initialisedFolder()
                    opened(folder, isFirstStart = false)
                    names.forEachIndexed { position, name ->
                        val file = folder.resolve(name)
                        val content = forms[(number shr (2 * position)) % forms.size](Files.readAllBytes(file))
                        if (content == null) Files.delete(file) else Files.write(file, content)
                    }
                    opened(folder, isFirstStart = number % 2 == 0)
                }
            }
        }
    })
