package marigoldward.support.net

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.io.File
import java.nio.file.Files
import java.nio.file.Path

private const val FIRST_PORT = 10_000
private const val BLOCKS = 5
private const val ALL_PORTS = BLOCKS * ReservedPorts.PORTS_PER_BLOCK

/** Prints the ports that it finds and holds them until its input ends. */
internal object PortFinderProgram {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val ports = ReservedPorts(Path.of(arguments[0]), FIRST_PORT, BLOCKS, firstBlock = 0)
        val counts = arguments.drop(1).map(String::toInt)
        println("found: " + counts.flatMap(ports::find).joinToString(" "))
        System.`in`.read()
        Runtime.getRuntime().halt(0)
    }
}

/** A process that finds ports, of each of [counts] one after the other, beginning with the first. */
private class PortFinder(file: Path, vararg counts: Int) : AutoCloseable {
    private val process = ProcessBuilder(
        listOf(File(System.getProperty("java.home"), "bin/java").path, "-cp", System.getProperty("java.class.path")) +
            listOf(PortFinderProgram::class.java.name, "$file") + counts.map(Int::toString),
    ).redirectErrorStream(true).start()
    private val lines = process.inputReader()

    val ports: List<Int> by lazy {
        val line = checkNotNull(lines.lineSequence().firstOrNull { it.startsWith("found: ") }) { "ended" }
        line.removePrefix("found: ").split(' ').filter(String::isNotEmpty).map(String::toInt)
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }
}

private fun withFile(test: (Path) -> Unit) {
    val folder = Files.createTempDirectory("ports")
    try {
        test(folder.resolve("ports"))
    } finally {
        folder.toFile().deleteRecursively()
    }
}

class ReservedPortsTest :
    DescribeSpec({
        describe("processes that look for ports at the same time, from the same place on") {
            // Guards against "address in use" where two runs of tests overlap: each port was free when it was checked.
            it("find no port in common, each more than a block") {
                withFile { file ->
                    val finders = List(2) { PortFinder(file, 150, 150) }
                    try {
                        finders.forEach { it.ports.size shouldBeGreaterThan ReservedPorts.PORTS_PER_BLOCK }
                        val all = finders.flatMap { it.ports }
                        all.distinct().size shouldBe all.size
                    } finally {
                        finders.forEach(PortFinder::close)
                    }
                }
            }
            it("find none again that the other holds, though they ask for more than there are") {
                withFile { file ->
                    PortFinder(file, 1).use { first ->
                        first.ports.shouldNotBeEmpty()
                        PortFinder(file, ALL_PORTS).use { second ->
                            second.ports.size shouldBeGreaterThan ALL_PORTS / 2
                            second.ports.filter { it - FIRST_PORT < ReservedPorts.PORTS_PER_BLOCK } shouldBe emptyList()
                        }
                    }
                }
            }
        }
        describe("a process that looks for ports") {
            it("finds those that a process held which was killed") {
                withFile { file ->
                    val before = PortFinder(file, 10).use { it.ports }
                    PortFinder(file, 10).use { it.ports shouldContainExactlyInAnyOrder before }
                }
            }
            it("finds ports though others hold all") {
                withFile { file ->
                    PortFinder(file, ALL_PORTS).use { first ->
                        first.ports.size shouldBeGreaterThan ALL_PORTS / 2
                        PortFinder(file, 10).use { it.ports.size shouldBe 10 }
                    }
                }
            }
            it("finds ports though the file can't be used") {
                withFile { file ->
                    val ports = ReservedPorts(file.resolve("no folder"), FIRST_PORT, BLOCKS)
                    ports.find(10).distinct().size shouldBe 10
                }
            }
            it("finds none twice before it has tried all of a block") {
                withFile { file ->
                    val ports = ReservedPorts(file, FIRST_PORT, BLOCKS, firstBlock = BLOCKS - 1)
                    val found = List(ReservedPorts.PORTS_PER_BLOCK) { ports.find(1).single() }
                    found.distinct().size shouldBe found.size
                }
            }
        }
    })
