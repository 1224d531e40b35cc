package marigoldward.cli

import marigoldward.core.Outcome
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.support.settings.SettingsProblem
import java.io.File
import java.io.IOException

/** Reads a folder of declarations, which holds `base.ini` and `overlays/NAME.ini`. */
internal object DeclarationFolder {
    private const val BASE_FILE = "base.ini"
    private const val OVERLAY_FOLDER = "overlays"

    fun read(folder: File): Outcome<ConfigurationBundle, List<SettingsProblem>> = try {
        val base = SourceFile(BASE_FILE, File(folder, BASE_FILE).readText())
        val files = File(folder, OVERLAY_FOLDER).listFiles { file -> file.extension == "ini" }.orEmpty()
        val overlays = files.sortedBy { it.name }.map { SourceFile("$OVERLAY_FOLDER/${it.name}", it.readText()) }
        Outcome.Success(ConfigurationBundle(base, overlays))
    } catch (failure: IOException) {
        Outcome.Failure(listOf(SettingsProblem(folder.path, 0, "cannot be read: ${failure.message}")))
    }
}
