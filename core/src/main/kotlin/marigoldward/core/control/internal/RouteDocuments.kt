package marigoldward.core.control.internal

import marigoldward.core.control.AppliedCommand
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.ControlState

/** Route configurations. The one with the highest version is in force; a version cannot be reused for other content. */
internal object RouteDocuments {
    fun store(state: ControlState, command: ControlCommand.StoreRoutes): AppliedCommand {
        val current = state.routes
        val offered = command.document
        return when {
            current == null || offered.version > current.version ->
                AppliedCommand(state.copy(routes = offered), ControlOutcome.RoutesStored(offered.version))
            offered.version < current.version || offered.hasSameContentAs(current) ->
                AppliedCommand(state, ControlOutcome.RoutesSuperseded(current.version))
            else -> AppliedCommand(state, ControlOutcome.RoutesVersionTaken(current.version))
        }
    }
}
