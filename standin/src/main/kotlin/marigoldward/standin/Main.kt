package marigoldward.standin

import marigoldward.support.program.Program

/** Runs the emulated platform, engines and services until the process is told to stop. */
public fun main(arguments: Array<String>) {
    val file = Program.settingsFile("marigoldward-standin", arguments)
    val settings = Program.loadSettings(file, StandinSettings::read)
    Program.run { StandinProgram.start(settings) }
}
