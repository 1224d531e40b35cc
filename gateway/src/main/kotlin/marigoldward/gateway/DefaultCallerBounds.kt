package marigoldward.gateway

import marigoldward.core.serving.CallerBounds
import marigoldward.support.program.ProcessDescriptors

/** Returns the bounds that suit the heap of this process and the [descriptors] that it may open. */
internal fun defaultCallerBounds(descriptors: Long = ProcessDescriptors.maxCount()): CallerBounds =
    CallerBounds.of(Runtime.getRuntime().maxMemory(), descriptors)
