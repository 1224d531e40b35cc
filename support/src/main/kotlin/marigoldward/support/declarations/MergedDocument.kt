package marigoldward.support.declarations

import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.ProblemList
import marigoldward.support.settings.SectionReader

/** A base document merged with one overlay. A key in the overlay replaces the same key of the base. */
internal class MergedDocument private constructor(private val base: IniDocument, val overlay: IniDocument) {
    /** The names of all sections, those of the base first. */
    val sectionNames: List<String> get() = (base.sectionNames + overlay.sectionNames).distinct()

    fun section(name: String, problems: ProblemList): SectionReader =
        SectionReader.fromLayers(name, listOf(base, overlay), problems)

    companion object {
        fun fromFiles(base: IniDocument, overlay: IniDocument): MergedDocument = MergedDocument(base, overlay)
    }
}
