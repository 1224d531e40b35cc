package marigoldward.bench.system

import marigoldward.control.ControlProgram
import marigoldward.control.ControlSettings
import marigoldward.core.Outcome
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.OperationId
import marigoldward.core.getOrNull
import marigoldward.core.model.Revision
import marigoldward.entry.EntryProgram
import marigoldward.entry.EntrySettings
import marigoldward.standin.StandinProgram
import marigoldward.standin.StandinSettings
import marigoldward.support.net.FreePorts
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.rpc.ClusterIdentity
import java.io.File
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Files

/** A system of one control instance, one entry and the stand-ins, all running in this process. */
internal class InProcessSystem(engineSettings: String = "") : AutoCloseable {
    private val folder = Files.createTempDirectory("small-system").toFile()
    private val ports = FreePorts.find(6)
    private val keyFile = File(folder, "key").apply { writeText(KEY) }
    private val standin = StandinProgram.start(read(standinSettingsText(engineSettings), StandinSettings::read))
    private val control = ControlProgram.startSingle(read(controlSettingsText(), ControlSettings::read))
    private val entry = EntryProgram.start(read(entrySettingsText(), EntrySettings::read))
    private val controlAddresses = read(controlSettingsText(), ControlSettings::read).peers
    val client: ControlClient = ControlClient.to(controlAddresses, ClusterIdentity(CLUSTER, KeyFile.fromSecret(KEY)))

    val callerUrl: String get() = "http://127.0.0.1:${entry.callerPort}"
    val callerPort: Int get() = entry.callerPort
    val operatorUrl: String get() = "http://127.0.0.1:${entry.operatorPort}"

    init {
        eventually { client.submit(applyCommand()) is SubmitReply.Committed }
        eventually { get("$operatorUrl/ready") == 200 }
        eventually {
            post("/v1/completions", """{"model":"oblikovalec","prompt":"warm up","max_tokens":1}""").statusCode == 200
        }
    }

    data class Answer(val statusCode: Int, val outcome: String?, val requestId: String?, val text: String)

    fun post(path: String, body: String, headers: Map<String, String> = emptyMap()): Answer {
        val connection = URI("$callerUrl$path").toURL().openConnection() as HttpURLConnection
        connection.requestMethod = "POST"
        connection.doOutput = true
        headers.forEach(connection::setRequestProperty)
        connection.outputStream.use { it.write(body.toByteArray()) }
        val stream = if (connection.responseCode < 400) connection.inputStream else connection.errorStream
        return Answer(
            statusCode = connection.responseCode,
            outcome = connection.getHeaderField("X-Marigoldward-Outcome"),
            requestId = connection.getHeaderField("X-Request-Id"),
            text = stream?.readBytes()?.toString(Charsets.UTF_8).orEmpty(),
        )
    }

    fun get(url: String, key: String? = null): Int {
        val connection = URI(url).toURL().openConnection() as HttpURLConnection
        if (key != null) connection.setRequestProperty("Authorization", "Bearer $key")
        return connection.responseCode
    }

    /** Injects a fault of [kind] into the emulated [upstream]. */
    fun injectFault(upstream: String, kind: String) {
        val url = URI("http://127.0.0.1:${standin.port}/faults?upstream=$upstream&kind=$kind").toURL()
        val connection = url.openConnection() as HttpURLConnection
        connection.requestMethod = "POST"
        check(connection.responseCode == 200) { "the stand-in does not know the fault $kind of $upstream" }
    }

    /** Returns the report of the work that the stand-ins received, as JSON text. */
    fun observed(): String = URI("http://127.0.0.1:${standin.port}/observed").toURL().readText()

    fun metrics(): String {
        val connection = URI("$operatorUrl/metrics").toURL().openConnection()
        connection.setRequestProperty("Authorization", "Bearer $KEY")
        return connection.getInputStream().readBytes().toString(Charsets.UTF_8)
    }

    /** Waits until [condition] holds and does not throw; fails after a time-out. */
    fun eventually(condition: () -> Boolean) {
        repeat(400) {
            if (runCatching(condition).getOrDefault(false)) return
            Thread.sleep(50)
        }
        error("the condition was not met in time")
    }

    override fun close() {
        entry.close()
        client.close()
        control.close()
        standin.close()
        folder.deleteRecursively()
    }

    private fun applyCommand(): ControlCommand {
        val declarations = File("../examples/group")
        val overlay = SourceFile("svetloba.ini", File(declarations, "overlays/svetloba.ini").readText())
        val base = SourceFile("base.ini", File(declarations, "base.ini").readText())
        val smallBase = base.copy(text = base.text.replace("max_body_bytes = 4194304", "max_body_bytes = 20000"))
        return ControlCommand.ApplyConfiguration(
            OperationId.parse("test"),
            Revision.NONE,
            ConfigurationBundle(smallBase, listOf(overlay)),
        )
    }

    private fun <T> read(text: String, read: (IniDocument, ProblemList) -> T): T {
        val document = IniDocument.parse(SourceFile("test.ini", text))
        check(document is Outcome.Success) { "settings: $document" }
        val problems = ProblemList.create()
        val settings = read(checkNotNull(document.getOrNull()), problems)
        check(!problems.isNotEmpty()) { "settings: ${problems.toList()}" }
        return settings
    }

    private fun controlSettingsText() =
        """
        [control]
        id = control-1
        cluster_id = $CLUSTER
        key_file = $keyFile
        listen = 127.0.0.1:${ports[0]}
        operator_listen = 127.0.0.1:${ports[1]}
        data_folder = $folder/data
        [peers]
        control-1 = 127.0.0.1:${ports[0]}
        """.trimIndent()

    private fun entrySettingsText() =
        """
        [entry]
        id = entry-1
        cluster_id = $CLUSTER
        key_file = $keyFile
        site = svetloba
        data_centre = ljubljana-a
        caller_listen = 127.0.0.1:0
        listen = 127.0.0.1:${ports[2]}
        operator_listen = 127.0.0.1:0
        platform = 127.0.0.1:${ports[3]}
        grace_ms = 0
        [control]
        control-1 = 127.0.0.1:${ports[0]}
        [entries]
        entry-1 = 127.0.0.1:${ports[2]}
        """.trimIndent()

    private fun standinSettingsText(engineSettings: String) =
        """
        [standin]
        listen = 127.0.0.1:${ports[3]}
        list_lag_ms = 100
        [engine oblikovalec-1]
        pool = oblikovalec
        data_centre = ljubljana-a
        listen = 127.0.0.1:0
        $engineSettings
        [service rezervacije-1]
        pool = rezervacije
        data_centre = ljubljana-a
        listen = 127.0.0.1:0
        """.trimIndent()

    companion object {
        const val KEY: String = "key-for-tests-0123456789"
        private const val CLUSTER = "tests"
    }
}
