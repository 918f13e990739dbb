package tallyweir;

public enum Said { OFF, THRESHOLD, WINDOW, SHARE_OF }
