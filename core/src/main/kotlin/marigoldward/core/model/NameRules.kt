package marigoldward.core.model

internal const val NAME_RULE: String = "use 1 to 64 letters, digits, '.', '_' or '-'"

private const val MAX_NAME_CHARACTERS = 64

internal fun isValidName(text: String): Boolean = text.length in 1..MAX_NAME_CHARACTERS && text.all(::isNameCharacter)

private fun isNameCharacter(character: Char): Boolean = character in 'a'..'z' ||
    character in 'A'..'Z' ||
    character in '0'..'9' ||
    character == '.' ||
    character == '_' ||
    character == '-'
