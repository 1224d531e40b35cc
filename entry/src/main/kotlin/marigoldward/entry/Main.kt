package marigoldward.entry

import marigoldward.support.program.HangupSignal
import marigoldward.support.program.Program

/** Runs an entry instance until the process is told to stop. */
public fun main(arguments: Array<String>) {
    HangupSignal.install()
    val file = Program.settingsFile("marigoldward-entry", arguments)
    val settings = Program.awaitSettings(file, read = EntrySettings::read).settings
    Program.run { EntryProgram.start(settings) }
}
