package marigoldward.controller

import marigoldward.support.program.HangupSignal
import marigoldward.support.program.Program

/** Runs a controller until the process is told to stop. */
public fun main(arguments: Array<String>) {
    HangupSignal.install()
    val file = Program.settingsFile("marigoldward-controller", arguments)
    val settings = Program.awaitSettings(file, read = ControllerSettings::read).settings
    Program.run { ControllerProgram.start(settings) }
}
