package marigoldward.control.storage

/** A reason why a data folder can't be used. */
public sealed interface StorageProblem {
    /** Another process has the folder open. */
    public data class InUse(val folder: String) : StorageProblem

    /** [file] is damaged at byte [offset]. The instance must start with an empty folder, as a new replica. */
    public data class Corrupt(val file: String, val offset: Long) : StorageProblem

    /** The folder belongs to another cluster. */
    public data class OtherCluster(val found: String, val expected: String) : StorageProblem

    /** The folder already belongs to a replica. */
    public data class AlreadyInitialised(val folder: String) : StorageProblem
}

/** Returns a message that names the problem and, where it needs one, the remedy. */
internal fun StorageProblem.toMessage(): String = when (this) {
    is StorageProblem.InUse -> "data folder \"$folder\" is in use by another process"
    is StorageProblem.Corrupt ->
        "file \"$file\" is damaged at byte $offset; move the data folder away, start with an empty one and run " +
            "\"marigoldward replica replace\""
    is StorageProblem.OtherCluster -> "data folder belongs to cluster \"$found\", not to \"$expected\""
    is StorageProblem.AlreadyInitialised -> "data folder \"$folder\" is initialised already"
}
